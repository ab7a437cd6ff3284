/**
 * Chooses the node that a call is sent to: a home node (the node on an
 * endpoint's VM, the only one that connects to it) or a gateway of another
 * failure domain.
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

/**
 * Maximum number of calls to one service version that a node has in flight at a
 * home node.
 */
export const MAX_IN_FLIGHT = 64;

/**
 * Age at which a load reported on an answer is ignored, in milliseconds. The
 * report loses weight linearly until then.
 */
const LOAD_TTL_MS = 1_000;

/** Load, in calls per slot, from which a home node is overloaded. */
const OVERLOAD_CALLS_PER_SLOT = 1.4;

export type HomeChoice =
  /** A home node in the same failure domain. */
  | { readonly type: "home"; readonly to: NodeId }
  /** A node of another failure domain, which chooses a home node there. */
  | { readonly type: "gateway"; readonly to: NodeId }
  | { readonly type: "none" };

/** Options of `chooseHome`. */
export interface ChooseHomeOptions {
  readonly directory: Directory;
  readonly state: RoutingState;
  readonly service: string;
  readonly version: string;
  /** Nodes already tried for this call. */
  readonly tried: readonly NodeId[];
  /** Whether the call may go to another failure domain. */
  readonly mayLeave: boolean;
  /** Region whose failure domains are preferred. */
  readonly region: string;
  readonly now: MonotonicMs;
  /** Random numbers from 0 to 1, one for each of the two candidates. */
  readonly random: readonly [number, number];
}

/**
 * Chooses the less loaded of two random home nodes in the same failure domain,
 * or a gateway of another domain when none is usable or the best is overloaded.
 */
export function chooseHome(opts: ChooseHomeOptions): HomeChoice {
  const key = keyOfVersion(opts.service, opts.version);
  const known = opts.state.services.get(key);
  const all = opts.directory.homes(opts.service, opts.version);
  const untried = opts.tried.length === 0
    ? all
    : all.filter((one) => !opts.tried.includes(one.home));
  const usable = untried.filter((one) =>
    isUsable(known?.get(one.home), opts.now)
  );
  const best = chooseOfTwo(opts, known, usable);
  const isBusy = best === undefined ||
    loadOf(opts, known?.get(best.home), best.slots) >= OVERLOAD_CALLS_PER_SLOT;
  if (best !== undefined && !isBusy) return { type: "home", to: best.home };
  const gateway = opts.mayLeave ? chooseGateway(opts) : undefined;
  if (gateway !== undefined) return { type: "gateway", to: gateway };
  // Ejected home nodes are used when no other choice is left, so that ejection
  // never makes a service unavailable.
  const fallback = best ?? chooseOfTwo(opts, known, untried);
  const isFull = fallback === undefined ||
    (known?.get(fallback.home)?.inFlight ?? 0) >= MAX_IN_FLIGHT;
  return isFull ? { type: "none" } : { type: "home", to: fallback.home };
}

/**
 * Returns whether a home node has room for a call and is either not ejected or
 * due for a probe call.
 */
function isUsable(stats: HomeStats | undefined, now: MonotonicMs): boolean {
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
  // The step is at least 1, so the second candidate is another home node.
  const step = 1 + Math.floor(opts.random[1] * (homes.length - 1));
  const a = homes[first];
  const b = homes[(first + step) % homes.length];
  if (a === undefined || b === undefined) return a;
  const isBetter = loadOf(opts, known?.get(b.home), b.slots) <
    loadOf(opts, known?.get(a.home), a.slots);
  return isBetter ? b : a;
}

/**
 * Returns the load in calls per slot: the larger of the calls that this node
 * has in flight at the home node and the load that the home node reported last,
 * which loses weight with its age.
 */
function loadOf(
  opts: ChooseHomeOptions,
  stats: HomeStats | undefined,
  slots: number,
): number {
  if (stats === undefined) return 0;
  const own = stats.inFlight / slots;
  const age = opts.now - stats.loadAt;
  return Math.max(own, stats.load * (1 - age / LOAD_TTL_MS));
}

function chooseGateway(opts: ChooseHomeOptions): NodeId | undefined {
  const { service, version, tried, random, region } = opts;
  const remotes = opts.directory.remotes(service, version);
  const sameRegion = remotes.filter((one) => one.region === region);
  for (const group of [sameRegion, remotes]) {
    const gateways = group.flatMap((one) => one.gateways)
      .filter((id) => !tried.includes(id));
    if (gateways.length === 0) continue;
    return gateways[Math.floor(random[0] * gateways.length)];
  }
  return undefined;
}
