/**
 * Plans the share of a new version.
 * @module
 */
import type { Judgement } from "../rollout/state.ts";

/** One stage of a move. */
interface Stage {
  /** Share of the service's requests, 0 to 1. */
  readonly share: number;
  /** Shortest time of the stage. */
  readonly leastMs: number;
}

/**
 * Stages of a move. The first is long and small: a fault that shows at once or
 * after a few seconds is found there. The others are short, for faults that
 * show under load alone.
 */
const stages: readonly Stage[] = [
  { share: 0.06, leastMs: 3_000 },
  { share: 0.2, leastMs: 1_000 },
  { share: 0.5, leastMs: 1_000 },
  { share: 1, leastMs: 1_500 },
];

/** Part of the ordered time after which the first stage may end. */
const firstStageShare = 0.35;

/** Answers of the target that a stage needs before it may end. */
const leastAnswers = 20;

/** Options of `planShare`. */
export interface PlanShareOptions {
  readonly share: number;
  /** Time since the order. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Time since the present share was set. */
  readonly stageMs: number;
  readonly judgement: Judgement;
}

/**
 * Returns the share that the target should have now. It grows by one stage at
 * a time, and only while its answers show no sign of a fault.
 */
export function planShare(opts: PlanShareOptions): number {
  const { share, judgement, stageMs } = opts;
  const index = stages.findIndex((stage) => stage.share >= share);
  const stage = stages[index] ?? stages[0];
  const next = stages[index + 1];
  if (share === 0) return stages[0]?.share ?? 0;
  if (stage === undefined || next === undefined) return share;
  if (judgement.type === "faulty") return share;
  const isSuspect = judgement.type === "unclear" && judgement.isSuspect;
  const isFirst = index === 0;
  const isLong = stageMs >= stage.leastMs &&
    (!isFirst || opts.elapsedMs >= opts.durationMs * firstStageShare);
  const isSeen = judgement.calls >= leastAnswers;
  return isLong && isSeen && !isSuspect ? next.share : share;
}

/** Whether the target has carried everything for long enough. */
export function isSettled(share: number, stageMs: number): boolean {
  const last = stages.at(-1);
  return last !== undefined && share === last.share && stageMs >= last.leastMs;
}
