/**
 * Judges a move at regular times, and leads it where it is this node's turn.
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
 * Log-likelihood ratio above which a version is faulty. Under a small share
 * there is time to be surer than under full load.
 */
const faultyAbove = { trial: Math.log(1e5), full: Math.log(1e3) } as const;

/**
 * Runs under full load before slow ones count. A node that takes on its load is
 * slow itself for a moment.
 */
const leastWarmRuns = 60;

/** Rise of the failure rate that a stage has to rule out. */
const ruleOut = 0.2;

/**
 * Time after the deadline in which a version that took over is still judged, in
 * milliseconds.
 */
const bakeMs = 6_000;

/** Time between reports of a small share's evidence, in milliseconds. */
const trialReportMs = 400;

export function tickShift(
  state: TrafficShiftState,
  move: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  switch (move.step.phase) {
    case ShiftPhase.Running:
      return tickRunning(state, move, event);
    case ShiftPhase.Completed:
      return tickCompleted(state, move, event);
    case ShiftPhase.RolledBack:
      return [];
    default:
      return exhausted(move.step.phase);
  }
}

function tickRunning(
  state: TrafficShiftState,
  move: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  const { now } = event;
  const { service, target } = move.order;
  const load = event.loadOf(service, target);
  const isFull = move.step.share === FULL_SHARE;
  const effects: TrafficShiftEffect[] = reportLocal(state, move, now);
  const analysis = analyzeEvidence({
    state: move.analysisState,
    evidence: move.inbox.total,
    faultyAbove: isFull ? faultyAbove.full : faultyAbove.trial,
    slowAbove: faultyAbove.trial,
    ruleOut,
    now,
  });
  if (
    analysis.type === "faulty" && move.fault === undefined &&
    isWarm(move, analysis.finding)
  ) {
    effects.push(blame(move, analysis.finding));
  }
  const action = nextAction({ state, move, load, analysis, event });
  return [...effects, ...leadShift({ state, move, action, event })];
}

function isWarm(move: TrafficShift, finding: Finding): boolean {
  if (finding.measure !== Measure.Slowness) return true;
  if (move.step.share < RAMP_SHARE) return true;
  const { targetRuns } = sumRuns(move.inbox.total);
  return targetRuns - move.runsAtStep >= leastWarmRuns;
}

/** The version has everything, and may still turn out to be bad. */
function tickCompleted(
  state: TrafficShiftState,
  move: TrafficShift,
  event: ShiftTickedEvent,
): readonly TrafficShiftEffect[] {
  const { now } = event;
  const { bake } = move;
  const isOver = bake === undefined || isBaked(move, bake, now);
  if (isOver && move.fault === undefined) return [];
  const effects: TrafficShiftEffect[] = reportLocal(state, move, now);
  if (move.fault === undefined && bake !== undefined) {
    const finding = analyzeBake({
      bake,
      sources: move.inbox.sources,
      runs: sumRuns(move.inbox.total),
      now,
    });
    if (finding !== undefined) effects.push(blame(move, finding));
  }
  const action = move.fault === undefined
    ? undefined
    : { share: undefined, phase: ShiftPhase.RolledBack };
  return [...effects, ...leadShift({ state, move, action, event })];
}

/** Where requests are few, a window may take longer than the bake. */
function isBaked(move: TrafficShift, bake: Bake, now: MonotonicMs): boolean {
  if (now - move.orderedAt <= move.order.durationMs + bakeMs) return false;
  if (bake.windowAt === undefined) return true;
  return bake.windows > 0 && bake.badWindows === 0;
}

/** This node sends the target nothing from now on, and tells others why. */
function blame(move: TrafficShift, finding: Finding): TrafficShiftEffect {
  const { service, target } = move.order;
  const { phase } = move.step;
  move.fault = finding;
  return { type: "faulty", fault: { service, target, phase, finding } };
}

/** Sums of this node, when they have grown. */
function reportLocal(
  state: TrafficShiftState,
  move: TrafficShift,
  now: MonotonicMs,
): TrafficShiftEffect[] {
  const isTrial = move.step.share < RAMP_SHARE;
  if (isTrial && now - move.reportedAt < trialReportMs) return [];
  let calls = 0;
  for (const counts of move.local.values()) calls += counts.calls;
  if (calls === move.localSeq) return [];
  move.localSeq = calls;
  move.reportedAt = now;
  const report = createShiftReport(state, move, now);
  applyReport(state, report, now);
  return [{ type: "report", report }];
}
