/**
 * Simple stochastic calls of two versions.
 * @module
 */
import type { Random } from "./rollouts_random.ts";
import { type Fault, FaultPlace, type Scenario } from "./rollouts_scenarios.ts";

/** Time after which a caller gives a call up, in milliseconds. */
export const timeoutMs = 10_000;

const latencySpread = 0.5;
const usualErrorShare = 0.001;
const sharedErrorShare = 0.3;

/** Routes with their parts of the calls. */
const routes = [
  { name: "accounts", part: 0.6 },
  { name: "renewals", part: 0.25 },
  { name: "uploads", part: 0.15 },
] as const;

/** One call's route, outcome and latency. */
export interface CallResult {
  readonly route: string;
  readonly isFailed: boolean;
  readonly latencyMs: number;
  /** True when the version's fault hit the call. */
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

/** Draws what comes of one call. */
export function drawCall(opts: DrawCallOptions): CallResult {
  const { random, scenario, isNew } = opts;
  const route = drawRoute(random);
  const fault = isNew && scenario.fault && isActive(scenario.fault, opts, route)
    ? scenario.fault
    : undefined;
  const isHung = fault !== undefined && random.uniform() < fault.hangShare;
  const isHit = fault !== undefined && random.uniform() < fault.errorShare;
  const isUnlucky = random.uniform() <
    (opts.isSharedFault ? sharedErrorShare : usualErrorShare);
  const median = scenario.deployment.latencyMs * (fault?.slowdown ?? 1);
  const latencyMs = isHung
    ? timeoutMs
    : median * Math.exp(latencySpread * random.normal());
  const isSlow = (fault?.slowdown ?? 1) > 1;
  return {
    route,
    isFailed: isHung || isHit || isUnlucky,
    latencyMs,
    isBad: isHung || isHit || isSlow,
  };
}

function drawRoute(random: Random): string {
  let left = random.uniform();
  for (const { name, part } of routes) {
    left -= part;
    if (left < 0) return name;
  }
  return routes[0].name;
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
