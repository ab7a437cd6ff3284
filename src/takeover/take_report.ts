/**
 * Takes a node's counts of a move over into the sums.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { mergeReport } from "../rollout/merge_report.ts";
import { ReportLevel } from "../rollout/messages.ts";
import type { Move, MoveReport, TakeoverState } from "./state.ts";

export function takeReport(
  state: TakeoverState,
  report: MoveReport,
  now: MonotonicMs,
) {
  const move = state.moves.get(report.service);
  if (move === undefined || move.order.target !== report.target) return;
  const { target, source, seq, counts } = report;
  noteElapsed(move, report.elapsedMs, now);
  mergeReport(move.inbox, {
    rollout: target,
    level: ReportLevel.Node,
    source,
    seq,
    domain: "fleet",
    receiver: "all",
    counts,
  });
}

/**
 * Learns from another node how long ago the order was given. A node that has
 * restarted, was frozen or could not read the store knows a later time.
 */
export function noteElapsed(move: Move, elapsedMs: number, now: MonotonicMs) {
  move.orderedAt = Math.min(move.orderedAt, now - elapsedMs);
}
