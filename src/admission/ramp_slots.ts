/**
 * Limits the concurrent calls of an endpoint that has just started.
 * @module
 */

/** Time from readiness until an endpoint gets all slots, in milliseconds. */
const RAMP_MS = 5_000;

/** Share of the slots that an endpoint gets as soon as it is ready. */
const INITIAL_SLOT_SHARE = 0.25;

/** Options of `rampSlots`. */
export interface RampSlotsOptions {
  /** Number of concurrent calls of the endpoint when it is warm. */
  readonly slots: number;
  /** Connections that the endpoint accepts, which also limit its calls. */
  readonly connections: number;
  /** Time since the endpoint became ready, in milliseconds. */
  readonly readyMs: number;
}

/** Returns the number of calls that may run concurrently, at least 1. */
export function rampSlots(opts: RampSlotsOptions): number {
  const maxSlots = Math.max(1, Math.min(opts.slots, opts.connections));
  const progress = Math.min(1, Math.max(0, opts.readyMs) / RAMP_MS);
  const share = INITIAL_SLOT_SHARE + (1 - INITIAL_SLOT_SHARE) * progress;
  return Math.max(1, Math.floor(maxSlots * share));
}
