/**
 * Gives an endpoint that has just started a part of its slots.
 * @module
 */

/** Time until a cold endpoint gets all its slots, in milliseconds. */
const rampMs = 5_000;

/** Share of the slots that a cold endpoint gets at once. */
const firstShare = 0.25;

/** Options of `rampSlots`. */
export interface RampSlotsOptions {
  readonly slots: number;
  readonly connections: number;
  /** Time since it became ready, in milliseconds. */
  readonly readyMs: number;
}

/** Calls that may run at once, 1 at least. */
export function rampSlots(opts: RampSlotsOptions): number {
  const most = Math.max(1, Math.min(opts.slots, opts.connections));
  const warm = Math.min(1, Math.max(0, opts.readyMs) / rampMs);
  const share = firstShare + (1 - firstShare) * warm;
  return Math.max(1, Math.floor(most * share));
}
