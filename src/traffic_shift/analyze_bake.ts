/**
 * Judges a version for a while after it has taken over.
 *
 * Nothing is left to compare it with, so its failures have to be many, at all of
 * its endpoints, and last: a fault of single endpoints must not stop a service.
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

/** Shortest time of a window, in milliseconds. */
const windowMs = 1_000;

/** Runs that a window needs. */
const leastRuns = 40;

/** Windows in a row that have to be bad. */
const badWindows = 3;

/** Part of a window's runs that fail, besides what failed before the move. */
const badPart = 0.25;

/** Room for failures that the old version had too, as a factor. */
const toleratedRatio = 1.5;

/** Endpoints with fewer runs in a window are left out. */
const leastEndpointRuns = 5;

/** Part of an endpoint's runs that fail when it has the fault. */
const badEndpointPart = 0.1;

/** Part of the endpoints that have to have the fault. */
const badEndpoints = 0.75;

/** One endpoint alone does not tell a fault of its own from the version's. */
const leastEndpoints = 2;

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

/** Adds what is new, and returns the fault once it has lasted. */
export function analyzeBake(opts: AnalyzeBakeOptions): Finding | undefined {
  const { bake, runs, now } = opts;
  const sums = sumSources(opts.sources);
  if (bake.windowAt === undefined) {
    openWindow(bake, sums, now);
    return undefined;
  }
  const rises = [...sums].map(([source, sum]) => {
    const before = bake.runs.get(source);
    return {
      runs: sum.runs - (before?.runs ?? 0),
      failures: sum.failures - (before?.failures ?? 0),
    };
  });
  const calls = rises.reduce((sum, rise) => sum + rise.runs, 0);
  if (now - bake.windowAt < windowMs || calls < leastRuns) return undefined;
  const bad = rises.reduce((sum, rise) => sum + rise.failures, 0);
  const usual = runs.otherFailures / Math.max(1, runs.otherRuns);
  const isBad = bad > (badPart + toleratedRatio * usual) * calls &&
    isEverywhere(rises);
  bake.windows++;
  bake.badWindows = isBad ? bake.badWindows + 1 : 0;
  openWindow(bake, sums, now);
  if (bake.badWindows < badWindows) return undefined;
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

function isEverywhere(rises: readonly SourceRunCounts[]): boolean {
  const seen = rises.filter((rise) => rise.runs >= leastEndpointRuns);
  const bad = seen.filter((rise) =>
    rise.failures >= badEndpointPart * rise.runs
  );
  return seen.length >= leastEndpoints &&
    bad.length >= badEndpoints * seen.length;
}

function openWindow(
  bake: Bake,
  sums: ReadonlyMap<string, SourceRunCounts>,
  now: MonotonicMs,
) {
  bake.windowAt = now;
  bake.runs = sums;
}

/** Runs of the target at each source. */
function sumSources(
  sources: ReadonlyMap<string, EvidenceReport>,
): Map<string, SourceRunCounts> {
  const sums = new Map<string, SourceRunCounts>();
  for (const [source, { counts }] of sources) {
    let [runs, failures] = [0, 0];
    for (const one of counts) {
      if (one.side !== Side.New) continue;
      runs += one.calls;
      failures += one.failures;
    }
    sums.set(source, { runs, failures });
  }
  return sums;
}
