/**
 * Takes a node's counts of a move over into the sums.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { mergeReport } from "../rollout/merge_report.ts";
import { ReportLevel } from "../rollout/messages.ts";
import { findShift } from "./find_shift.ts";
import { recordElapsed } from "./record_elapsed.ts";
import type { ShiftReport, TrafficShiftState } from "./state.ts";

export function applyReport(
  state: TrafficShiftState,
  report: ShiftReport,
  now: MonotonicMs,
) {
  const move = findShift(state, report);
  if (move === undefined) return;
  const { target, source, seq, counts } = report;
  recordElapsed(move, report.elapsed, now);
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
