/**
 * Finds the traffic shift that a message or a status refers to.
 * @module
 */
import type { ShiftOrder, TrafficShift, TrafficShiftState } from "./state.ts";

/**
 * Returns undefined if the service's traffic shift, if any, has another target.
 */
export function findShift(
  state: TrafficShiftState,
  about: Pick<ShiftOrder, "service" | "target">,
): TrafficShift | undefined {
  const shift = state.shifts.get(about.service);
  return shift?.order.target === about.target ? shift : undefined;
}
