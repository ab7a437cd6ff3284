/**
 * Analyzes a traffic shift on each tick, and leads it if this node is the
 * leader.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { analyzeEvidence } from "../rollout/analyze_evidence.ts";
import { type Finding, Measure } from "../rollout/messages.ts";
import { createShiftReport } from "./describe_shifts.ts";
import { analyzeBake } from "./analyze_bake.ts";
import { leadShift, nextAction } from "./lead_shift.ts";
import { FULL_SHARE, RAMP_SHARE } from "./plan_share.ts";
import {
  type Bake,
  ShiftPhase,
  type ShiftTickedEvent,
  type TrafficShift,
  type TrafficShiftEffect,
  type TrafficShiftState,
} from "./state.ts";
import { sumRuns } from "./sum_runs.ts";
import { applyReport } from "./apply_report.ts";

/**
 * Log-likelihood ratio above which a version counts as faulty. The bound is
 * higher for a small share, since more time is left there to collect evidence.
 */
const FAULTY_ABOVE_LOG_RATIO = {
  canary: Math.log(1e5),
  full: Math.log(1e3),
} as const;

/**
 * Runs at the ramp or full share before slow runs count as evidence. A node
 * is slow for a moment after its load has risen.
 */
const MIN_WARM_RUNS = 60;

/** Rise of the failure rate that the analysis of a share has to rule out. */
const RULED_OUT_RATE_RISE = 0.2;

/**
 * Bake time: how long after the deadline a version that has taken over is still
 * analyzed.
 */
const BAKE_MS = 6_000;

/** Interval between reports while the target has a canary share. */
const CANARY_REPORT_INTERVAL_MS = 400;

export function tickShift(
  state: TrafficShiftState,
  shift: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  switch (shift.step.phase) {
    case ShiftPhase.Running:
      return tickRunning(state, shift, event);
    case ShiftPhase.Completed:
      return tickCompleted(state, shift, event);
    case ShiftPhase.RolledBack:
      return recordAgain(state, shift, event);
    default:
      return exhausted(shift.step.phase);
  }
}

function tickRunning(
  state: TrafficShiftState,
  shift: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  const { now } = event;
  const { service, target } = shift.order;
  const load = event.loadOf(service, target);
  const isFull = shift.step.share === FULL_SHARE;
  const effects: TrafficShiftEffect[] = reportLocal(state, shift, now);
  const analysis = analyzeEvidence({
    state: shift.analysisState,
    evidence: shift.inbox.total,
    faultyAbove: isFull
      ? FAULTY_ABOVE_LOG_RATIO.full
      : FAULTY_ABOVE_LOG_RATIO.canary,
    slowAbove: FAULTY_ABOVE_LOG_RATIO.canary,
    ruleOut: RULED_OUT_RATE_RISE,
    now,
  });
  if (
    analysis.type === "faulty" && shift.fault === undefined &&
    isWarm(shift, analysis.finding)
  ) {
    effects.push(markFaulty(shift, analysis.finding));
  }
  const action = nextAction({ state, shift, load, analysis, event });
  return [...effects, ...leadShift({ state, shift, action, event })];
}

function isWarm(shift: TrafficShift, finding: Finding): boolean {
  if (finding.measure !== Measure.Slowness) return true;
  if (shift.step.share < RAMP_SHARE) return true;
  const { targetRuns } = sumRuns(shift.inbox.total);
  return targetRuns - shift.runsAtStep >= MIN_WARM_RUNS;
}

/**
 * Analyzes a version that has taken over, and rolls it back if it is faulty.
 */
function tickCompleted(
  state: TrafficShiftState,
  shift: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  const { now } = event;
  const { bake } = shift;
  const isOver = bake === undefined || isBaked(shift, bake, now);
  if (isOver && shift.fault === undefined) {
    return recordAgain(state, shift, event);
  }
  const effects: TrafficShiftEffect[] = reportLocal(state, shift, now);
  if (shift.fault === undefined && bake !== undefined) {
    const finding = analyzeBake({
      bake,
      sources: shift.inbox.sources,
      runs: sumRuns(shift.inbox.total),
      now,
    });
    if (finding !== undefined) effects.push(markFaulty(shift, finding));
  }
  const lost = shift.isStatusLost
    ? { share: undefined, phase: shift.step.phase }
    : undefined;
  const action = shift.fault === undefined
    ? lost
    : { share: undefined, phase: ShiftPhase.RolledBack };
  return [...effects, ...leadShift({ state, shift, action, event })];
}

/** Records the end of a traffic shift again after the store has lost it. */
function recordAgain(
  state: TrafficShiftState,
  shift: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  if (!shift.isStatusLost) return [];
  const action = { share: undefined, phase: shift.step.phase };
  return leadShift({ state, shift, action, event });
}

/**
 * Returns whether the bake is over. It is extended until a first window is
 * complete, which takes long where requests are few, and while the latest
 * window is bad.
 */
function isBaked(shift: TrafficShift, bake: Bake, now: MonotonicMs): boolean {
  if (now - shift.orderedAt <= shift.order.durationMs + BAKE_MS) return false;
  if (bake.windowAt === undefined) return true;
  return bake.windows > 0 && bake.badWindows === 0;
}

/**
 * Stops requests from this node to the target, and reports the fault to others.
 */
function markFaulty(shift: TrafficShift, finding: Finding): TrafficShiftEffect {
  const { service, target } = shift.order;
  const { phase } = shift.step;
  shift.fault = finding;
  return { type: "send-fault", fault: { service, target, phase, finding } };
}

/** Reports this node's counts if they have grown since the last report. */
function reportLocal(
  state: TrafficShiftState,
  shift: TrafficShift,
  now: MonotonicMs,
): TrafficShiftEffect[] {
  const isCanary = shift.step.share < RAMP_SHARE;
  if (isCanary && now - shift.reportedAt < CANARY_REPORT_INTERVAL_MS) return [];
  let calls = 0;
  for (const counts of shift.local.values()) calls += counts.calls;
  if (calls === shift.localSeq) return [];
  shift.localSeq = calls;
  shift.reportedAt = now;
  const report = createShiftReport(state, shift, now);
  applyReport(state, report, now);
  return [{ type: "send-report", report }];
}
