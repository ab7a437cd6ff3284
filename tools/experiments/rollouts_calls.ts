/**
 * Draws random outcomes and latencies of calls to two versions.
 * @module
 */
import type { Random } from "./rollouts_random.ts";
import { type Fault, FaultPlace, type Scenario } from "./rollouts_scenarios.ts";

/** Timeout of a caller, in milliseconds. */
export const CALL_TIMEOUT_MS = 10_000;

/** Standard deviation of the logarithm of the latency. */
const LATENCY_LOG_DEVIATION = 0.5;
/** Share of calls that fail without any fault. */
const USUAL_ERROR_SHARE = 0.001;
/** Share of calls to either version that fail during a shared fault. */
const SHARED_FAULT_ERROR_SHARE = 0.3;

/** Routes, each with its share of the calls. */
const ROUTES = [
  { name: "accounts", share: 0.6 },
  { name: "renewals", share: 0.25 },
  { name: "uploads", share: 0.15 },
] as const;

/** One call's route, outcome and latency. */
export interface CallResult {
  readonly route: string;
  readonly isFailed: boolean;
  readonly latencyMs: number;
  /** Whether the fault of the new version affected the call. */
  readonly isBad: boolean;
}

/** Options of `drawCall`. */
export interface DrawCallOptions {
  readonly random: Random;
  readonly scenario: Scenario;
  readonly isNew: boolean;
  readonly domain: number;
  readonly perMille: number;
  readonly isBaking: boolean;
  readonly isSharedFault: boolean;
  /** Simulated time in milliseconds. */
  readonly now: number;
}

/** Draws the route, outcome and latency of one call. */
export function drawCall(opts: DrawCallOptions): CallResult {
  const { random, scenario, isNew } = opts;
  const route = drawRoute(random);
  const fault = isNew && scenario.fault && isActive(scenario.fault, opts, route)
    ? scenario.fault
    : undefined;
  const isHung = fault !== undefined && random.uniform() < fault.hangShare;
  const isHit = fault !== undefined && random.uniform() < fault.errorShare;
  const isBackgroundError = random.uniform() <
    (opts.isSharedFault ? SHARED_FAULT_ERROR_SHARE : USUAL_ERROR_SHARE);
  const median = scenario.deployment.latencyMs * (fault?.slowdown ?? 1);
  const latencyMs = isHung
    ? CALL_TIMEOUT_MS
    : median * Math.exp(LATENCY_LOG_DEVIATION * random.normal());
  const isSlow = (fault?.slowdown ?? 1) > 1;
  return {
    route,
    isFailed: isHung || isHit || isBackgroundError,
    latencyMs,
    isBad: isHung || isHit || isSlow,
  };
}

function drawRoute(random: Random): string {
  let left = random.uniform();
  for (const { name, share } of ROUTES) {
    left -= share;
    if (left < 0) return name;
  }
  return ROUTES[0].name;
}

function isActive(fault: Fault, opts: DrawCallOptions, route: string): boolean {
  switch (fault.when) {
    case FaultPlace.Always:
      return true;
    case FaultPlace.Baking:
      return opts.isBaking;
    case FaultPlace.UnderLoad:
      return opts.perMille >= 300;
    case FaultPlace.OneRoute:
      return route === "renewals";
    case FaultPlace.OneDomain:
      return opts.domain === 0;
    case FaultPlace.Flapping:
      return opts.now % 12_000 < 4_000;
  }
}
