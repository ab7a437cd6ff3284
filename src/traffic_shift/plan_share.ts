/**
 * Plans the share of requests that a new version gets.
 *
 * A version may become faulty at any moment until its deadline, and the
 * requests that it got before count towards the exposure limit as well. So it
 * gets a small share (canary) for most of the ordered time, then a short ramp.
 * It gets the full share as late as possible, with just enough time left to
 * analyze it under full load and to record the end in the store.
 * @module
 */
import type { AnalysisResult } from "../rollout/state.ts";
import type { RunSums } from "./sum_runs.ts";

/** Limit on the requests that a faulty version may get until its deadline. */
export interface ExposureTerms {
  /** Share of all requests of the service, 0 to 1. */
  readonly share: number;
  /** Number of requests allowed in addition to the share. */
  readonly slack: number;
}

/** Share of a version that gets all requests of the service. */
export const FULL_SHARE = 1;

/** Share of the exposure limit that the canary may use. */
const CANARY_EXPOSURE_SHARE = 0.2;

/**
 * Upper bound of the canary's share. It applies to services with few requests.
 */
const MAX_CANARY_SHARE = 0.1;

/** Shortest duration of the canary before the ramp may start. */
const MIN_CANARY_MS = 1_500;

/**
 * Share of `ExposureTerms.slack` that the plan uses. The rest covers requests
 * that have not been counted yet, since reports arrive with a delay.
 */
const PLANNED_SLACK_SHARE = 0.5;

/** Factor by which the request rate may rise above the measured rate. */
const REQUEST_RATE_GROWTH_FACTOR = 1.25;

/**
 * Share of the ramp, at which a version and its nodes warm up for the full
 * load.
 */
export const RAMP_SHARE = 0.25;

/** Duration of the ramp. */
const RAMP_MS = 200;

/** Time until all nodes apply a step. */
const STEP_PROPAGATION_MS = 100;

/** Longest time before the deadline at which the full share may begin. */
const MAX_FULL_SHARE_MS = 2_000;

/**
 * If the full share begins less than this time before the deadline, the version
 * is analyzed past the deadline, for `LATE_FULL_SHARE_MS`.
 */
const LATE_FULL_SHARE_LEAD_MS = 150;

/** Time under full share before completion if the full share began late. */
const LATE_FULL_SHARE_MS = 1_000;

/**
 * Time before the deadline at which the end of a traffic shift is recorded. The
 * time that the store takes for a write is added.
 */
const RECORD_LEAD_MS = 540;

/** Share of the time between full share and deadline that analysis takes. */
const ANALYSIS_TIME_SHARE = 0.4;

/** Shortest analysis under full share if the store is slow. */
const MIN_ANALYSIS_MS = 200;

/**
 * Time before the deadline until which completion waits for the old version's
 * last calls. Its endpoints stop without draining once the traffic shift is
 * completed. The time that the store takes for a write is added.
 */
const DRAIN_LEAD_MS = 450;

/**
 * Runs of the target required under full share, unless fewer requests arrive.
 */
const MIN_TARGET_RUNS = 20;

/**
 * Time before the earliest start of the full share at which the lease is
 * renewed.
 */
const RENEWAL_LEAD_MS = 1_000;

/** Share of the expected runs that suffices where requests are few. */
const MIN_ANSWERED_SHARE = 0.5;

/** Options of `planShare`. */
export interface PlanShareOptions {
  readonly share: number;
  /** Time since the order, in milliseconds. */
  readonly elapsedMs: number;
  readonly durationMs: number;
  /** Time since the current share was set, in milliseconds. */
  readonly stageMs: number;
  readonly analysis: AnalysisResult;
  readonly runs: RunSums;
  /** Requests of the service per millisecond. */
  readonly ratePerMs: number;
  readonly exposure: ExposureTerms;
}

/** Returns the share that the target should have now. */
export function planShare(opts: PlanShareOptions): number {
  const { share, analysis } = opts;
  if (share === 0) return planCanaryShare(opts);
  if (share === FULL_SHARE || analysis.type === "faulty") return share;
  if (isSuspect(analysis)) return share;
  const leftMs = opts.durationMs - opts.elapsedMs;
  if (share === RAMP_SHARE) {
    const isWarm = opts.stageMs >= RAMP_MS;
    const leadMs = planFullShareLeadMs(opts, 0) + STEP_PROPAGATION_MS;
    return isWarm && leftMs <= leadMs ? FULL_SHARE : share;
  }
  const isObserved = opts.stageMs >= MIN_CANARY_MS;
  const leadMs = RAMP_MS + planFullShareLeadMs(opts, RAMP_MS) +
    STEP_PROPAGATION_MS;
  return isObserved && leftMs <= leadMs ? RAMP_SHARE : share;
}

function planCanaryShare(
  { exposure, ratePerMs, durationMs }: PlanShareOptions,
) {
  // A leader that has just started has counted no requests yet.
  const requests = ratePerMs * durationMs || Infinity;
  const allowed = exposure.share + exposure.slack / requests;
  return Math.min(MAX_CANARY_SHARE, CANARY_EXPOSURE_SHARE * allowed);
}

/**
 * Returns how long before the deadline a version may get the full share without
 * exceeding the exposure limit, if it becomes faulty at that moment.
 * `rampLeftMs` is the time that the version still spends at the ramp share.
 */
function planFullShareLeadMs(
  opts: PlanShareOptions,
  rampLeftMs: number,
): number {
  const { runs, ratePerMs, exposure } = opts;
  const { targetRuns, otherRuns } = runs;
  const spare = exposure.share * (targetRuns + otherRuns) +
    PLANNED_SLACK_SHARE * exposure.slack - targetRuns -
    RAMP_SHARE * rampLeftMs * ratePerMs;
  // Each request also raises the limit by `exposure.share`.
  const spentPerMs = (REQUEST_RATE_GROWTH_FACTOR - exposure.share) * ratePerMs;
  if (spare <= 0) return 0;
  return spentPerMs > 0
    ? Math.min(MAX_FULL_SHARE_MS, spare / spentPerMs)
    : MAX_FULL_SHARE_MS;
}

/**
 * Returns whether the leader has to write to the store again. If the write
 * fails, another node has enough time left to take over the lease.
 */
export function isRenewalDue(leftMs: number): boolean {
  return leftMs <= MAX_FULL_SHARE_MS + RENEWAL_LEAD_MS;
}

/** Options of `mayComplete`. */
export interface MayCompleteOptions extends PlanShareOptions {
  /** Runs of the target since the current share was set. */
  readonly stageRuns: number;
  /** Calls that run or wait at other versions of the service. */
  readonly otherCalls: number;
  /** Time that the store took for the last write, in milliseconds. */
  readonly storeMs: number;
}

/** Returns whether the completion of a traffic shift may be recorded now. */
export function mayComplete(opts: MayCompleteOptions): boolean {
  const { analysis, stageMs, otherCalls, storeMs } = opts;
  if (opts.share !== FULL_SHARE || isSuspect(analysis)) return false;
  const expected = Math.floor(MIN_ANSWERED_SHARE * opts.ratePerMs * stageMs);
  if (opts.stageRuns < Math.min(MIN_TARGET_RUNS, expected)) return false;
  const leftMs = opts.durationMs - opts.elapsedMs;
  const plannedMs = leftMs + stageMs;
  if (plannedMs < LATE_FULL_SHARE_LEAD_MS) return stageMs >= LATE_FULL_SHARE_MS;
  const analysisMs = Math.max(
    Math.min(MIN_ANALYSIS_MS, ANALYSIS_TIME_SHARE * plannedMs),
    ANALYSIS_TIME_SHARE * plannedMs - storeMs,
  );
  if (stageMs < analysisMs || leftMs > RECORD_LEAD_MS + storeMs) return false;
  return otherCalls === 0 || leftMs <= DRAIN_LEAD_MS + storeMs;
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
