/**
 * Records which services this node sends calls to.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { FleetState, ServiceDemand } from "./state.ts";

/**
 * Number of services up to which links are opened before the first call. With
 * more services, a node calls only a few of them.
 */
const MAX_LISTED_SERVICES = 8;

/** Number of home nodes that are added when the linked ones are full. */
const EXTRA_HOMES_STEP = 4;

const MAX_EXTRA_HOMES = 24;

/** Shortest time between two increases of the number of home nodes. */
const EXTRA_HOMES_INTERVAL_MS = 500;

/** Time after which extra home nodes are given up again. */
const EXTRA_HOMES_TTL_MS = 30_000;

/** Time without a call after which links for a service are not kept. */
const DEMAND_TTL_MS = 60_000;

/** Time between updates of the last call, which would otherwise be frequent. */
const DEMAND_PRECISION_MS = 1_000;

/** Records that calls to services may arrive. */
export function recordServices(
  state: FleetState,
  services: readonly string[],
  now: MonotonicMs,
) {
  if (services.length > MAX_LISTED_SERVICES) return;
  for (const service of services) demandOf(state, service, now).calledAt = now;
}

/** Options of `recordDemand`. */
export interface RecordDemandOptions {
  readonly service: string;
  /** Whether all linked home nodes of the service seem to be full. */
  readonly isFull: boolean;
  readonly now: MonotonicMs;
}

/** Records a call, and raises the number of home nodes if these are full. */
export function recordDemand(state: FleetState, opts: RecordDemandOptions) {
  const { now } = opts;
  const demand = demandOf(state, opts.service, now);
  if (now - demand.calledAt >= DEMAND_PRECISION_MS) demand.calledAt = now;
  if (!opts.isFull || now - demand.fullAt < EXTRA_HOMES_INTERVAL_MS) return;
  const extraHomes = extraHomesOf(demand, now);
  demand.extraHomes = Math.min(MAX_EXTRA_HOMES, extraHomes + EXTRA_HOMES_STEP);
  demand.fullAt = now;
  state.isPlanStale = true;
}

/** Returns the number of home nodes to link beyond the usual number. */
export function extraHomesOf(demand: ServiceDemand, now: MonotonicMs): number {
  return now - demand.fullAt < EXTRA_HOMES_TTL_MS ? demand.extraHomes : 0;
}

/** Removes the services that this node has not called for a while. */
export function forgetDemands(state: FleetState, now: MonotonicMs) {
  for (const [service, { calledAt }] of state.demands) {
    if (now - calledAt >= DEMAND_TTL_MS) state.demands.delete(service);
  }
}

function demandOf(
  state: FleetState,
  service: string,
  now: MonotonicMs,
): ServiceDemand {
  const known = state.demands.get(service);
  if (known !== undefined) return known;
  const demand = { calledAt: now, extraHomes: 0, fullAt: -Infinity };
  state.demands.set(service, demand);
  state.isPlanStale = true;
  return demand;
}
