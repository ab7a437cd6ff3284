/**
 * Takes a node's counts of a move over into the sums.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { mergeReport } from "../rollout/merge_report.ts";
import { ReportLevel } from "../rollout/messages.ts";
import { moveOf } from "./move_of.ts";
import { noteElapsed } from "./note_elapsed.ts";
import type { MoveReport, TakeoverState } from "./state.ts";

export function takeReport(
  state: TakeoverState,
  report: MoveReport,
  now: MonotonicMs,
) {
  const move = moveOf(state, report);
  if (move === undefined) return;
  const { target, source, seq, counts } = report;
  noteElapsed(move, report.elapsed, now);
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
