/**
 * What a node that has just started or was cut off has to hear of moves.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { elapsedOf } from "./note_elapsed.ts";
import {
  type Move,
  type MoveFault,
  type MoveReport,
  type MoveStep,
  type TakeoverState,
} from "./state.ts";

/** A move as one node knows it. */
export interface MoveDescription {
  readonly step: MoveStep;
  readonly report: MoveReport;
  readonly fault: MoveFault | undefined;
}

/**
 * Describes all moves. A node that has restarted would otherwise judge the
 * target anew, and as the leader start the move from its trial; one that was cut
 * off would never hear how a move has ended.
 */
export function describeMoves(
  state: TakeoverState,
  now: MonotonicMs,
): readonly MoveDescription[] {
  return [...state.moves.values()].map((move) => {
    const { service, target } = move.order;
    const finding = move.fault;
    const { phase } = move.step;
    return {
      step: { ...move.step, elapsed: elapsedOf(move, now) },
      report: reportOf(state, move, now),
      fault: finding === undefined
        ? undefined
        : { service, target, phase, finding },
    };
  });
}

/** This node's own counts of a move. */
export function reportOf(
  state: TakeoverState,
  move: Move,
  now: MonotonicMs,
): MoveReport {
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
