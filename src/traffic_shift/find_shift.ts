/**
 * Finds the move that a message or a status is about.
 * @module
 */
import type { ShiftOrder, TrafficShift, TrafficShiftState } from "./state.ts";

/** Undefined when a later order has taken its place. */
export function findShift(
  state: TrafficShiftState,
  about: Pick<ShiftOrder, "service" | "target">,
): TrafficShift | undefined {
  const move = state.shifts.get(about.service);
  return move?.order.target === about.target ? move : undefined;
}
