/**
 * Plans the share of a new version.
 *
 * A version may turn bad at any moment until its deadline, and what it got
 * before counts as much as what it gets afterwards. So it carries a small share
 * for most of the ordered time, and everything only as late as leaves the time
 * to judge it under its full load and to put the end on record.
 * @module
 */
import type { AnalysisResult } from "../rollout/state.ts";
import type { RunSums } from "./sum_runs.ts";

/** Most requests that a bad version may get until its deadline. */
export interface ExposureTerms {
  /** Part of all requests of the service, 0 to 1. */
  readonly share: number;
  /** Requests besides that part. */
  readonly slack: number;
}

/** Share of a version that carries everything. */
export const FULL_SHARE = 1;

/** Part of what a bad version may get that the trial uses. */
const trialPart = 0.2;

/** Largest share of the trial, for services with few requests. */
const largestTrialShare = 0.1;

/** Shortest time of the trial, in milliseconds. */
const leastTrialMs = 1_500;

/** Part of the slack that is planned with. Requests are counted with a lag. */
const slackPart = 0.5;

/** Room for requests that come faster than they did, as a factor. */
const rateMargin = 1.25;

/** Share under which a version and its nodes warm up for the full load. */
export const RAMP_SHARE = 0.25;

/** Time of the ramp, in milliseconds. */
const rampMs = 200;

/** Time until all nodes act on a step, in milliseconds. */
const noticeMs = 100;

/** Longest time under full load before the deadline, in milliseconds. */
const longestFullMs = 2_000;

/** A full load that begins this late is judged past the deadline, in ms. */
const lateMs = 150;

/** Time for which it is judged then, in milliseconds. */
const lateFullMs = 1_000;

/**
 * Time before the deadline at which the end is recorded, in milliseconds, besides
 * what the store takes.
 */
const recordLeadMs = 540;

/** Part of the time under full load that comes before the record. */
const judgedPart = 0.4;

/** The same in milliseconds where the store is slow. */
const leastJudgedMs = 200;

/**
 * Time before the deadline until which the old version's last calls are waited
 * for, in milliseconds. Its endpoints stop without draining at the end.
 */
const emptyLeadMs = 450;

/** Answers under full load before the end, unless fewer requests come. */
const leastAnswers = 20;

/** Time before the last step at which the lease is renewed, in milliseconds. */
const renewalLeadMs = 1_000;

/** Part of the expected answers that suffices where requests are few. */
const answeredPart = 0.5;

/** Options of `planShare`. */
export interface PlanShareOptions {
  readonly share: number;
  /** Time since the order. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Time since the present share was set. */
  readonly stageMs: number;
  readonly analysis: AnalysisResult;
  readonly runs: RunSums;
  /** Requests of the service in a millisecond. */
  readonly ratePerMs: number;
  readonly exposure: ExposureTerms;
}

/** Returns the share that the target should have now. */
export function planShare(opts: PlanShareOptions): number {
  const { share, analysis } = opts;
  if (share === 0) return trialShare(opts);
  if (share === FULL_SHARE || analysis.type === "faulty") return share;
  if (isSuspect(analysis)) return share;
  const leftMs = opts.durationMs - opts.elapsedMs;
  if (share === RAMP_SHARE) {
    const isWarm = opts.stageMs >= rampMs;
    const leadMs = fullLeadMs(opts, 0) + noticeMs;
    return isWarm && leftMs <= leadMs ? FULL_SHARE : share;
  }
  const isSeen = opts.stageMs >= leastTrialMs;
  const leadMs = rampMs + fullLeadMs(opts, rampMs) + noticeMs;
  return isSeen && leftMs <= leadMs ? RAMP_SHARE : share;
}

function trialShare({ exposure, ratePerMs, durationMs }: PlanShareOptions) {
  // A leader that has just started knows of no requests yet.
  const requests = ratePerMs * durationMs || Infinity;
  const allowed = exposure.share + exposure.slack / requests;
  return Math.min(largestTrialShare, trialPart * allowed);
}

/**
 * Longest time before the deadline for which a version may carry everything
 * after a ramp, should it turn out to be bad just then.
 */
function fullLeadMs(opts: PlanShareOptions, aheadMs: number): number {
  const { runs, ratePerMs, exposure } = opts;
  const { targetRuns, otherRuns } = runs;
  const spare = exposure.share * (targetRuns + otherRuns) +
    slackPart * exposure.slack - targetRuns -
    RAMP_SHARE * aheadMs * ratePerMs;
  // Each request of the target also raises what it may get.
  const spentPerMs = (rateMargin - exposure.share) * ratePerMs;
  if (spare <= 0) return 0;
  return spentPerMs > 0
    ? Math.min(longestFullMs, spare / spentPerMs)
    : longestFullMs;
}

/**
 * Whether the leader has to show that it can still write, so that another node
 * takes over in time if it can't.
 */
export function isRenewalDue(leftMs: number): boolean {
  return leftMs <= longestFullMs + renewalLeadMs;
}

/** Options of `mayComplete`. */
export interface MayCompleteOptions extends PlanShareOptions {
  /** Runs of the target since the present share was set. */
  readonly stageRuns: number;
  /** Calls that run or wait at the old version. */
  readonly otherCalls: number;
  /** Time that the store took for the last record, in milliseconds. */
  readonly storeMs: number;
}

/** Whether the end of a move may be recorded now. */
export function mayComplete(opts: MayCompleteOptions): boolean {
  const { analysis, stageMs, otherCalls, storeMs } = opts;
  if (opts.share !== FULL_SHARE || isSuspect(analysis)) return false;
  const expected = Math.floor(answeredPart * opts.ratePerMs * stageMs);
  if (opts.stageRuns < Math.min(leastAnswers, expected)) return false;
  const leftMs = opts.durationMs - opts.elapsedMs;
  const plannedMs = leftMs + stageMs;
  if (plannedMs < lateMs) return stageMs >= lateFullMs;
  const judgedMs = Math.max(
    Math.min(leastJudgedMs, judgedPart * plannedMs),
    judgedPart * plannedMs - storeMs,
  );
  if (stageMs < judgedMs || leftMs > recordLeadMs + storeMs) return false;
  return otherCalls === 0 || leftMs <= emptyLeadMs + storeMs;
}

function isSuspect(analysis: AnalysisResult): boolean {
  switch (analysis.type) {
    case "faulty":
      return true;
    case "unclear":
      return analysis.isSuspect;
    case "clear":
      return false;
  }
}
