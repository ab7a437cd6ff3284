/**
 * Merges a node's report into the evidence of a traffic shift.
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
  const shift = findShift(state, report);
  if (shift === undefined) return;
  const { target, source, seq, counts } = report;
  recordElapsed(shift, report.elapsed, now);
  mergeReport(shift.inbox, {
    rollout: target,
    level: ReportLevel.Node,
    source,
    seq,
    domain: "fleet",
    receiver: "all",
    counts,
  });
}
