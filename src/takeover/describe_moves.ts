/**
 * What a node that has just started has to hear of running moves.
 * @module
 */
import {
  type Move,
  type MoveFault,
  MovePhase,
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
 * Describes the moves that run. A restarted node would otherwise judge the
 * target anew, and as the leader start the move from its first stage.
 */
export function describeMoves(
  state: TakeoverState,
  now: number,
): readonly MoveDescription[] {
  return [...state.moves.values()].flatMap((move) => {
    if (move.step.phase !== MovePhase.Running) return [];
    const { service, target } = move.order;
    const finding = move.fault;
    const { phase } = move.step;
    return [{
      step: { ...move.step, elapsedMs: now - move.orderedAt },
      report: reportOf(state, move),
      fault: finding === undefined
        ? undefined
        : { service, target, phase, finding },
    }];
  });
}

/** This node's own counts of a move. */
export function reportOf(state: TakeoverState, move: Move): MoveReport {
  return {
    service: move.order.service,
    target: move.order.target,
    source: state.source,
    seq: move.localSeq,
    counts: [...move.local.values()].map((counts) => ({
      ...counts,
      buckets: [...counts.buckets],
    })),
  };
}
