/**
 * Chooses the version of a service that a call is sent to.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { ServedService } from "../serving/state.ts";

const FULL_SHARE_PER_MILLE = 1000;

/** Options of `chooseVersion`. */
export interface ChooseVersionOptions {
  readonly served: ServedService;
  /** Versions on hold (they get no traffic), as `service@version`. */
  readonly held: ReadonlySet<string>;
  /** Random number from 0 to 1. */
  readonly random: number;
}

/** Returns the candidate for its share of calls, unless it is on hold. */
export function chooseVersion(opts: ChooseVersionOptions): string {
  const { stable, candidate } = opts.served.split;
  if (candidate === undefined) return stable;
  const key = keyOfVersion(opts.served.service, candidate.version);
  if (opts.held.has(key)) return stable;
  const isCandidate = opts.random * FULL_SHARE_PER_MILLE < candidate.perMille;
  return isCandidate ? candidate.version : stable;
}
