/**
 * Plans when a rollout moves on, worked backwards from the time asked.
 * @module
 */
import { FULL_SHARE_PER_MILLE } from "../config_log/fold_rollout.ts";
import type { RolloutStep } from "../config_log/messages.ts";
import { type Rollout, RolloutPhase } from "../config_log/state.ts";
import type { WallMs } from "../core/types.ts";
import { WhenUnjudged } from "../lists/types.ts";
import type { AnalysisResult } from "./state.ts";

/** A share of calls, and the rise of a rate to rule out before leaving it. */
interface Rung {
  readonly perMille: number;
  readonly ruleOut: number;
}

/** Shares that a new version passes through. */
export const SHARE_STEPS: readonly Rung[] = [
  { perMille: 20, ruleOut: 0.2 },
  { perMille: 100, ruleOut: 0.15 },
  { perMille: 300, ruleOut: 0.1 },
  { perMille: 600, ruleOut: 0.05 },
  { perMille: FULL_SHARE_PER_MILLE, ruleOut: 0.05 },
];

/** Time given to a rollout whose entry names none, in milliseconds. */
const defaultTotalMs = 600_000;

const minStageMs = 2_000;
const maxStageMs = 30_000;
const minBakeMs = 6_000;
const maxBakeMs = 600_000;
/** Time kept for the log and for spreading the last step. */
const minSpareMs = 2_000;
const maxSpareMs = 60_000;

/** Times of a rollout's plan in milliseconds. */
export interface PlanTimes {
  readonly leftMs: number;
  readonly stageMs: number;
  /** Time after which a stage is left without a judgement. */
  readonly slotMs: number;
  readonly bakeMs: number;
  readonly spareMs: number;
}

/** Works the plan out backwards from the time asked. */
export function planTimes(rollout: Rollout, wall: WallMs): PlanTimes {
  const begunAt = Date.parse(rollout.begunAt);
  const isTimed = rollout.takeOverBy !== undefined;
  const endAt = isTimed
    ? Date.parse(rollout.takeOverBy)
    : begunAt + defaultTotalMs;
  const totalMs = Math.max(0, endAt - begunAt);
  const leftMs = endAt - wall;
  const spareMs = clamp(0.1 * totalMs, minSpareMs, maxSpareMs);
  const wantedBakeMs = isTimed
    ? clamp(0.15 * totalMs, minBakeMs, maxBakeMs)
    : minBakeMs;
  const stageMs = isTimed
    ? clamp(0.01 * totalMs, minStageMs, maxStageMs)
    : minStageMs;
  const ahead =
    SHARE_STEPS.filter((rung) => rung.perMille > rollout.perMille).length;
  const stagesMs = leftMs - spareMs - wantedBakeMs;
  return {
    leftMs,
    stageMs,
    slotMs: Math.max(stageMs, stagesMs / Math.max(1, ahead)),
    bakeMs: clamp(leftMs - spareMs, minBakeMs, wantedBakeMs),
    spareMs,
  };
}

function clamp(value: number, min: number, max: number): number {
  return Math.min(max, Math.max(min, value));
}

/** Rise of a rate that the present share's evidence has to rule out. */
export function ruleOutAt(perMille: number): number {
  const rung = SHARE_STEPS.findLast((one) => one.perMille <= perMille);
  return rung?.ruleOut ?? SHARE_STEPS[0]?.ruleOut ?? 1;
}

/** Options of `planStep`. */
export interface PlanStepOptions {
  readonly rollout: Rollout;
  readonly judgement: Exclude<AnalysisResult, { type: "faulty" }>;
  /** Time since the present stage began or the holder took over. */
  readonly stageMs: number;
  readonly wall: WallMs;
}

/** Returns the step that is due, if any. Each reason is a sentence. */
export function planStep(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout } = opts;
  const next = SHARE_STEPS.find((rung) => rung.perMille > rollout.perMille);
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
  const { rollout, judgement, stageMs, wall } = opts;
  const times = planTimes(rollout, wall);
  if (judgement.type === "clear") {
    if (stageMs < times.stageMs) return undefined;
    const reason = `${tellClear(opts)}; the share rises to ` +
      `${formatPercent(perMille)}, ${formatTimeLeft(rollout, wall)}.`;
    return { type: "share", perMille, reason };
  }
  if (judgement.isSuspect || stageMs < times.slotMs) return undefined;
  if (rollout.whenUnjudged === WhenUnjudged.Hold) return blockUnjudged(opts);
  const reason = `${tellFew(opts)}; the entry says to proceed, so the share ` +
    `rises to ${formatPercent(perMille)}, ${formatTimeLeft(rollout, wall)}.`;
  return { type: "share", perMille, reason };
}

/** At full share the old version stays for the time of the bake. */
function leaveLastShare(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout, wall } = opts;
  if (rollout.phase === RolloutPhase.Blocked) {
    return opts.judgement.type === "clear"
      ? { type: "bake", reason: `${tellClear(opts)}; the bake goes on.` }
      : undefined;
  }
  const { bakeMs } = planTimes(rollout, wall);
  const reason = `${rollout.version} serves alone and is watched for ` +
    `${formatSeconds(bakeMs)} with the old version kept, ` +
    `${formatTimeLeft(rollout, wall)}.`;
  return { type: "bake", reason };
}

function leaveBake(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout, judgement, stageMs, wall } = opts;
  const { bakeMs, leftMs, spareMs } = planTimes(rollout, wall);
  if (stageMs < bakeMs) return undefined;
  if (judgement.type === "clear") {
    return { type: "done", reason: `${tellClear(opts)} while baking.` };
  }
  if (judgement.isSuspect || leftMs > spareMs) return undefined;
  if (rollout.whenUnjudged === WhenUnjudged.Hold) return blockUnjudged(opts);
  const reason = `${tellFew(opts)} while baking; the entry says to proceed.`;
  return { type: "done", reason };
}

/** Reports the rollout as blocked once its time to judge is over. */
function blockUnjudged(opts: PlanStepOptions): RolloutStep | undefined {
  const { rollout, wall } = opts;
  const { leftMs, spareMs, bakeMs } = planTimes(rollout, wall);
  const isDue = leftMs <= spareMs + bakeMs;
  if (!isDue || rollout.phase === RolloutPhase.Blocked) return undefined;
  const reason = `${tellFew(opts)}; the entry says to hold, so the share ` +
    `stays at ${formatPercent(rollout.perMille)} until more calls are judged.`;
  return { type: "block", reason };
}

function tellClear(opts: PlanStepOptions): string {
  const ruledOut = formatPercent(1_000 * ruleOutAt(opts.rollout.perMille));
  return `${opts.judgement.calls} calls at ` +
    `${
      formatPercent(opts.rollout.perMille)
    } rule out ${ruledOut} more failed ` +
    "or slow calls than the old version's";
}

function tellFew(opts: PlanStepOptions): string {
  return `${opts.judgement.calls} calls at ` +
    `${formatPercent(opts.rollout.perMille)} are too few to judge`;
}

/** Says how much time is left. */
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
