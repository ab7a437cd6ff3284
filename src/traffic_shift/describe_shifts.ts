/**
 * What a node that has just started or was cut off has to hear of moves.
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

/** A move as one node knows it. */
export interface ShiftDescription {
  readonly step: ShiftStep;
  readonly report: ShiftReport;
  readonly fault: ShiftFault | undefined;
}

/**
 * Describes all moves. A node that has restarted would otherwise judge the
 * target anew, and as the leader start the move from its trial; one that was cut
 * off would never hear how a move has ended.
 */
export function describeShifts(
  state: TrafficShiftState,
  now: MonotonicMs,
): readonly ShiftDescription[] {
  return [...state.shifts.values()].map((move) => {
    const { service, target } = move.order;
    const finding = move.fault;
    const { phase } = move.step;
    return {
      step: { ...move.step, elapsed: elapsedOf(move, now) },
      report: createShiftReport(state, move, now),
      fault: finding === undefined
        ? undefined
        : { service, target, phase, finding },
    };
  });
}

/** This node's own counts of a move. */
export function createShiftReport(
  state: TrafficShiftState,
  move: TrafficShift,
  now: MonotonicMs,
): ShiftReport {
  return {
    service: move.order.service,
    target: move.order.target,
    source: state.source,
    seq: move.localSeq,
    elapsed: elapsedOf(move, now),
    counts: [...move.local.values()].map((counts) => ({
      ...counts,
      buckets: [...counts.buckets],
    })),
  };
}
