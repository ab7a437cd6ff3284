/**
 * Describes traffic shifts to a node that has just started or reconnected.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { elapsedOf } from "./record_elapsed.ts";
import {
  type ShiftFault,
  type ShiftReport,
  type ShiftStep,
  type TrafficShift,
  type TrafficShiftState,
} from "./state.ts";

/** State of a traffic shift at one node. */
export interface ShiftDescription {
  readonly step: ShiftStep;
  readonly report: ShiftReport;
  readonly fault: ShiftFault | undefined;
}

/**
 * Describes all traffic shifts. Without this, a restarted node would analyze
 * the target again from the start, and a restarted leader would fall back to
 * the canary share. A disconnected node would never receive the end of a
 * traffic shift.
 */
export function describeShifts(
  state: TrafficShiftState,
  now: MonotonicMs,
): readonly ShiftDescription[] {
  return [...state.shifts.values()].map((shift) => {
    const { service, target } = shift.order;
    const finding = shift.fault;
    const { phase } = shift.step;
    return {
      step: { ...shift.step, elapsed: elapsedOf(shift, now) },
      report: createShiftReport(state, shift, now),
      fault: finding === undefined
        ? undefined
        : { service, target, phase, finding },
    };
  });
}

/** Creates a report of the runs that this node counted for a traffic shift. */
export function createShiftReport(
  state: TrafficShiftState,
  shift: TrafficShift,
  now: MonotonicMs,
): ShiftReport {
  return {
    service: shift.order.service,
    target: shift.order.target,
    source: state.source,
    seq: shift.localSeq,
    elapsed: elapsedOf(shift, now),
    counts: [...shift.local.values()].map((counts) => ({
      ...counts,
      buckets: [...counts.buckets],
    })),
  };
}
