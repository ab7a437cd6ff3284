/**
 * Plans the times of a rollout's steps, backwards from the requested deadline.
 * @module
 */
import { FULL_SHARE_PER_MILLE } from "../config_log/fold_rollout.ts";
import type { RolloutStep } from "../config_log/messages.ts";
import { type Rollout, RolloutPhase } from "../config_log/state.ts";
import type { WallMs } from "../core/types.ts";
import { WhenUnjudged } from "../lists/types.ts";
import type { AnalysisResult } from "./state.ts";

/**
 * A share of calls, and the increase in the rate of bad calls that has to be
 * ruled out before the next share.
 */
interface ShareStep {
  readonly perMille: number;
  readonly ruleOut: number;
}

/** Shares of calls that a new version gets one after another. */
export const SHARE_STEPS: readonly ShareStep[] = [
  { perMille: 20, ruleOut: 0.2 },
  { perMille: 100, ruleOut: 0.15 },
  { perMille: 300, ruleOut: 0.1 },
  { perMille: 600, ruleOut: 0.05 },
  { perMille: FULL_SHARE_PER_MILLE, ruleOut: 0.05 },
];

/** Total time of a rollout whose configuration entry sets no deadline. */
const DEFAULT_TOTAL_MS = 600_000;

const MIN_STAGE_MS = 2_000;
const MAX_STAGE_MS = 30_000;
const MIN_BAKE_MS = 6_000;
const MAX_BAKE_MS = 600_000;
/** Time reserved for the log and for the distribution of the last step. */
const MIN_SPARE_MS = 2_000;
const MAX_SPARE_MS = 60_000;

/** Times of a rollout's plan in milliseconds. */
export interface PlanTimes {
  /** Time until the deadline, negative after it. */
  readonly leftMs: number;
  /** Minimum time of a stage, also if its analysis is clear earlier. */
  readonly stageMs: number;
  /** Time after which a stage ends even if its analysis is unclear. */
  readonly slotMs: number;
  /** Minimum time of the bake. */
  readonly bakeMs: number;
  /** Time reserved before the deadline for the log and the distribution. */
  readonly spareMs: number;
}

/** Computes the plan backwards from the requested deadline. */
export function planTimes(rollout: Rollout, wall: WallMs): PlanTimes {
  const begunAt = Date.parse(rollout.begunAt);
  const isTimed = rollout.takeOverBy !== undefined;
  const endAt = isTimed
    ? Date.parse(rollout.takeOverBy)
    : begunAt + DEFAULT_TOTAL_MS;
  const totalMs = Math.max(0, endAt - begunAt);
  const leftMs = endAt - wall;
  const spareMs = clamp(0.1 * totalMs, MIN_SPARE_MS, MAX_SPARE_MS);
  const plannedBakeMs = isTimed
    ? clamp(0.15 * totalMs, MIN_BAKE_MS, MAX_BAKE_MS)
    : MIN_BAKE_MS;
  const stageMs = isTimed
    ? clamp(0.01 * totalMs, MIN_STAGE_MS, MAX_STAGE_MS)
    : MIN_STAGE_MS;
  const stepsLeft =
    SHARE_STEPS.filter((shareStep) => shareStep.perMille > rollout.perMille)
      .length;
  const stagesMs = leftMs - spareMs - plannedBakeMs;
  return {
    leftMs,
    stageMs,
    slotMs: Math.max(stageMs, stagesMs / Math.max(1, stepsLeft)),
    bakeMs: clamp(leftMs - spareMs, MIN_BAKE_MS, plannedBakeMs),
    spareMs,
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Returns the increase of a rate to rule out at a share of calls. */
export function ruleOutAt(perMille: number): number {
  const shareStep = SHARE_STEPS.findLast((one) => one.perMille <= perMille);
  return shareStep?.ruleOut ?? SHARE_STEPS[0]?.ruleOut ?? 1;
}

/** Options of `planStep`. */
export interface PlanStepOptions {
  readonly rollout: Rollout;
  readonly analysis: Exclude<AnalysisResult, { type: "faulty" }>;
  /**
   * Time since the current stage began, or since this node began to lead if
   * that is later.
   */
  readonly stageMs: number;
  readonly wall: WallMs;
}

/** Returns the step to append now with its reason. Undefined if none is due. */
export function planStep(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout } = opts;
  const next = SHARE_STEPS.find((shareStep) =>
    shareStep.perMille > rollout.perMille
  );
  if (rollout.perMille === 0) {
    return next && firstStep(opts, next.perMille);
  }
  if (rollout.phase === RolloutPhase.Baking) return leaveBake(opts);
  if (next === undefined) return leaveLastShare(opts);
  return leaveShare(opts, next.perMille);
}

function firstStep(opts: PlanStepOptions, perMille: number): RolloutStep {
  const { rollout, wall } = opts;
  const reason = `${rollout.version} has upstreams and gets its first ` +
    `${formatPercent(perMille)} of calls; ${formatTimeLeft(rollout, wall)}.`;
  return { type: "share", perMille, reason };
}

function leaveShare(
  opts: PlanStepOptions,
  perMille: number,
): RolloutStep | undefined {
  const { rollout, analysis, stageMs, wall } = opts;
  const times = planTimes(rollout, wall);
  if (analysis.type === "clear") {
    if (stageMs < times.stageMs) return undefined;
    const reason = `${describeClear(opts)}; the share rises to ` +
      `${formatPercent(perMille)}, ${formatTimeLeft(rollout, wall)}.`;
    return { type: "share", perMille, reason };
  }
  if (analysis.isSuspect || stageMs < times.slotMs) return undefined;
  if (rollout.whenUnjudged === WhenUnjudged.Hold) return blockUnjudged(opts);
  const reason =
    `${describeTooFew(opts)}; the entry says to proceed, so the share ` +
    `rises to ${formatPercent(perMille)}, ${formatTimeLeft(rollout, wall)}.`;
  return { type: "share", perMille, reason };
}

/** Starts the bake at full share. The old version keeps running meanwhile. */
function leaveLastShare(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout, wall } = opts;
  if (rollout.phase === RolloutPhase.Blocked) {
    return opts.analysis.type === "clear"
      ? { type: "bake", reason: `${describeClear(opts)}; the bake goes on.` }
      : undefined;
  }
  const { bakeMs } = planTimes(rollout, wall);
  const reason = `${rollout.version} serves alone and is watched for ` +
    `${formatSeconds(bakeMs)} with the old version kept, ` +
    `${formatTimeLeft(rollout, wall)}.`;
  return { type: "bake", reason };
}

function leaveBake(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout, analysis, stageMs, wall } = opts;
  const { bakeMs, leftMs, spareMs } = planTimes(rollout, wall);
  if (stageMs < bakeMs) return undefined;
  if (analysis.type === "clear") {
    return { type: "done", reason: `${describeClear(opts)} while baking.` };
  }
  if (analysis.isSuspect || leftMs > spareMs) return undefined;
  if (rollout.whenUnjudged === WhenUnjudged.Hold) return blockUnjudged(opts);
  const reason = `${
    describeTooFew(opts)
  } while baking; the entry says to proceed.`;
  return { type: "done", reason };
}

/** Reports the rollout as blocked once its time for analysis is over. */
function blockUnjudged(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout, wall } = opts;
  const { leftMs, spareMs, bakeMs } = planTimes(rollout, wall);
  const isDue = leftMs <= spareMs + bakeMs;
  if (!isDue || rollout.phase === RolloutPhase.Blocked) return undefined;
  const reason =
    `${describeTooFew(opts)}; the entry says to hold, so the share ` +
    `stays at ${formatPercent(rollout.perMille)} until more calls are judged.`;
  return { type: "block", reason };
}

function describeClear(opts: PlanStepOptions): string {
  const ruledOut = formatPercent(1_000 * ruleOutAt(opts.rollout.perMille));
  return `${opts.analysis.calls} calls at ` +
    `${
      formatPercent(opts.rollout.perMille)
    } rule out ${ruledOut} more failed ` +
    "or slow calls than the old version's";
}

function describeTooFew(opts: PlanStepOptions): string {
  return `${opts.analysis.calls} calls at ` +
    `${formatPercent(opts.rollout.perMille)} are too few to judge`;
}

/** Formats the time left until the deadline, or the time past it. */
export function formatTimeLeft(rollout: Rollout, wall: WallMs): string {
  if (rollout.takeOverBy === undefined) return "no time is asked";
  const leftMs = Date.parse(rollout.takeOverBy) - wall;
  return leftMs >= 0
    ? `${formatSeconds(leftMs)} left`
    : `${formatSeconds(-leftMs)} past the time asked`;
}

export function formatPercent(perMille: number): string {
  return `${Number((perMille / 10).toFixed(1))}%`;
}

export function formatSeconds(ms: number): string {
  const seconds = Math.round(ms / 1_000);
  if (seconds < 120) return `${seconds} s`;
  const minutes = Math.round(seconds / 60);
  return minutes < 120 ? `${minutes} min` : `${Math.round(minutes / 60)} h`;
}
