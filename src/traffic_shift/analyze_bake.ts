/**
 * Analyzes a version during its bake time, after it has taken over all traffic.
 *
 * The old version no longer runs requests to compare with. So the version
 * counts as faulty only if many of its runs fail, at most of its endpoints, in
 * several windows in a row. A fault of single endpoints must not stop a
 * service.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { ALL_ROUTES } from "../rollout/analyze_evidence.ts";
import {
  type EvidenceReport,
  type Finding,
  Measure,
  Side,
} from "../rollout/messages.ts";
import type { Bake, SourceRunCounts } from "./state.ts";
import type { RunSums } from "./sum_runs.ts";

/** Shortest duration of a window. */
const WINDOW_MS = 1_000;

/** Number of runs that a window must contain before it ends. */
const MIN_RUNS = 40;

/** Number of bad windows in a row after which the version counts as faulty. */
const BAD_WINDOWS_TO_FAIL = 3;

/**
 * Share of failed runs above which a window is bad, in addition to the
 * tolerated failures of the old version.
 */
const BAD_RUN_SHARE = 0.25;

/**
 * Factor on the old version's failure rate up to which failures are tolerated.
 */
const TOLERATED_FAILURE_FACTOR = 1.5;

/** Endpoints with fewer runs in a window are not considered. */
const MIN_ENDPOINT_RUNS = 5;

/** Share of failed runs from which an endpoint counts as affected. */
const BAD_ENDPOINT_RUN_SHARE = 0.1;

/**
 * Share of the considered endpoints that must be affected for a window to be
 * bad.
 */
const BAD_ENDPOINT_SHARE = 0.75;

/**
 * Number of endpoints that must be considered for a window to be bad. With a
 * single endpoint, a fault of the endpoint can't be distinguished from a fault
 * of the version.
 */
const MIN_ENDPOINTS = 2;

export function createBake(): Bake {
  return {
    windowAt: undefined,
    runs: new Map(),
    windows: 0,
    badWindows: 0,
  };
}

/** Options of `analyzeBake`. */
export interface AnalyzeBakeOptions {
  readonly bake: Bake;
  /** Latest report of each source. */
  readonly sources: ReadonlyMap<string, EvidenceReport>;
  readonly runs: RunSums;
  readonly now: MonotonicMs;
}

/**
 * Closes the current window when it is due, and returns a finding after
 * `BAD_WINDOWS_TO_FAIL` bad windows in a row.
 */
export function analyzeBake(opts: AnalyzeBakeOptions): Finding | undefined {
  const { bake, runs, now } = opts;
  const sums = sumSources(opts.sources);
  if (bake.windowAt === undefined) {
    openWindow(bake, sums, now);
    return undefined;
  }
  const deltas = [...sums].map(([source, sum]) => {
    const before = bake.runs.get(source);
    return {
      runs: sum.runs - (before?.runs ?? 0),
      failures: sum.failures - (before?.failures ?? 0),
    };
  });
  const calls = deltas.reduce((sum, delta) => sum + delta.runs, 0);
  if (now - bake.windowAt < WINDOW_MS || calls < MIN_RUNS) return undefined;
  const bad = deltas.reduce((sum, delta) => sum + delta.failures, 0);
  const oldFailureRate = runs.otherFailures / Math.max(1, runs.otherRuns);
  const isBad =
    bad > (BAD_RUN_SHARE + TOLERATED_FAILURE_FACTOR * oldFailureRate) * calls &&
    isWidespread(deltas);
  bake.windows++;
  bake.badWindows = isBad ? bake.badWindows + 1 : 0;
  openWindow(bake, sums, now);
  if (bake.badWindows < BAD_WINDOWS_TO_FAIL) return undefined;
  return {
    route: ALL_ROUTES,
    measure: Measure.Errors,
    calls,
    bad,
    oldCalls: runs.otherRuns,
    oldBad: runs.otherFailures,
    score: bake.badWindows,
  };
}

function isWidespread(deltas: readonly SourceRunCounts[]): boolean {
  const considered = deltas.filter((delta) => delta.runs >= MIN_ENDPOINT_RUNS);
  const bad = considered.filter((delta) =>
    delta.failures >= BAD_ENDPOINT_RUN_SHARE * delta.runs
  );
  return considered.length >= MIN_ENDPOINTS &&
    bad.length >= BAD_ENDPOINT_SHARE * considered.length;
}

function openWindow(
  bake: Bake,
  sums: ReadonlyMap<string, SourceRunCounts>,
  now: MonotonicMs,
) {
  bake.windowAt = now;
  bake.runs = sums;
}

/** Sums up the target's runs and failures for each source. */
function sumSources(
  sources: ReadonlyMap<string, EvidenceReport>,
): Map<string, SourceRunCounts> {
  const sums = new Map<string, SourceRunCounts>();
  for (const [source, { counts }] of sources) {
    let [runs, failures] = [0, 0];
    for (const routeCounts of counts) {
      if (routeCounts.side !== Side.New) continue;
      runs += routeCounts.calls;
      failures += routeCounts.failures;
    }
    sums.set(source, { runs, failures });
  }
  return sums;
}
