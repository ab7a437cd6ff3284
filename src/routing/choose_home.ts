/**
 * Chooses the node that a call goes to.
 * @module
 */
import type {
  Directory,
  HomeCapacity,
  MonotonicMs,
  NodeId,
} from "../core/types.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { HomeStats, RoutingState } from "./state.ts";

/** Calls that one node has in flight at one home at most. */
export const MAX_IN_FLIGHT = 64;

/** Age at which a load seen on an answer counts no more, in milliseconds. */
const loadTtlMs = 1_000;

/** A home at this load, calls by slots, is overloaded. */
const overloaded = 1.4;

export type HomeChoice =
  /** A home in the own failure domain. */
  | { readonly type: "home"; readonly to: NodeId }
  /** A node of another failure domain, which chooses a home there. */
  | { readonly type: "gateway"; readonly to: NodeId }
  | { readonly type: "none" };

/** Options of `chooseHome`. */
export interface ChooseHomeOptions {
  readonly directory: Directory;
  readonly state: RoutingState;
  readonly service: string;
  readonly version: string;
  /** Homes already tried for this call. */
  readonly tried: readonly NodeId[];
  /** Whether the call may go to another failure domain. */
  readonly mayLeave: boolean;
  /** Region whose failure domains come first. */
  readonly region: string;
  readonly now: MonotonicMs;
  /** Random numbers from 0 to 1, one for each choice. */
  readonly random: readonly [number, number];
}

/** Two choices by load in the own domain, else a gateway of another. */
export function chooseHome(opts: ChooseHomeOptions): HomeChoice {
  const key = keyOfVersion(opts.service, opts.version);
  const known = opts.state.services.get(key);
  const all = opts.directory.homes(opts.service, opts.version);
  const untried = opts.tried.length === 0
    ? all
    : all.filter((one) => !opts.tried.includes(one.home));
  const fit = untried.filter((one) => isFit(known?.get(one.home), opts.now));
  const best = chooseOfTwo(opts, known, fit);
  const isBusy = best === undefined ||
    loadOf(opts, known?.get(best.home), best.slots) >= overloaded;
  if (best !== undefined && !isBusy) return { type: "home", to: best.home };
  const gateway = opts.mayLeave ? chooseGateway(opts) : undefined;
  if (gateway !== undefined) return { type: "gateway", to: gateway };
  // Ejection only lowers trust: it never leaves a service without homes.
  const last = best ?? chooseOfTwo(opts, known, untried);
  const isFull = last === undefined ||
    (known?.get(last.home)?.inFlight ?? 0) >= MAX_IN_FLIGHT;
  return isFull ? { type: "none" } : { type: "home", to: last.home };
}

/** Not ejected, or due for one probe. */
function isFit(stats: HomeStats | undefined, now: MonotonicMs): boolean {
  if (stats === undefined) return true;
  if (stats.inFlight >= MAX_IN_FLIGHT) return false;
  if (stats.ejections === 0) return true;
  return now >= stats.ejectedUntil && stats.inFlight === 0;
}

function chooseOfTwo(
  opts: ChooseHomeOptions,
  known: ReadonlyMap<NodeId, HomeStats> | undefined,
  homes: readonly HomeCapacity[],
): HomeCapacity | undefined {
  const first = Math.floor(opts.random[0] * homes.length);
  // The second choice is another home, or two choices would be one.
  const step = 1 + Math.floor(opts.random[1] * (homes.length - 1));
  const a = homes[first];
  const b = homes[(first + step) % homes.length];
  if (a === undefined || b === undefined) return a;
  const isBetter = loadOf(opts, known?.get(b.home), b.slots) <
    loadOf(opts, known?.get(a.home), a.slots);
  return isBetter ? b : a;
}

/** Calls by slots: those from here, and those last seen there. */
function loadOf(
  opts: ChooseHomeOptions,
  stats: HomeStats | undefined,
  slots: number,
): number {
  if (stats === undefined) return 0;
  const own = stats.inFlight / slots;
  const age = opts.now - stats.loadAt;
  return Math.max(own, stats.load * (1 - age / loadTtlMs));
}

function chooseGateway(opts: ChooseHomeOptions): NodeId | undefined {
  const { service, version, tried, random, region } = opts;
  const remotes = opts.directory.remotes(service, version);
  const near = remotes.filter((one) => one.region === region);
  for (const group of [near, remotes]) {
    const gateways = group.flatMap((one) => one.gateways)
      .filter((id) => !tried.includes(id));
    if (gateways.length === 0) continue;
    return gateways[Math.floor(random[0] * gateways.length)];
  }
  return undefined;
}
