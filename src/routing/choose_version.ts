/**
 * Chooses the version of a service that answers a call.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { ServedService } from "../serving/state.ts";

const thousandths = 1000;

/** Options of `chooseVersion`. */
export interface ChooseVersionOptions {
  readonly served: ServedService;
  /** Versions held back here, `service@version`. */
  readonly held: ReadonlySet<string>;
  /** Random number from 0 to 1. */
  readonly random: number;
}

/** Picks the candidate for its share of calls, unless it is held. */
export function chooseVersion(opts: ChooseVersionOptions): string {
  const { stable, candidate } = opts.served.split;
  if (candidate === undefined) return stable;
  const key = keyOfVersion(opts.served.service, candidate.version);
  if (opts.held.has(key)) return stable;
  const isCandidate = opts.random * thousandths < candidate.perMille;
  return isCandidate ? candidate.version : stable;
}
