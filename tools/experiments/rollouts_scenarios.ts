/**
 * Scenarios of the rollout experiment: deployments, good and faulty versions,
 * and faults outside the version.
 * @module
 */
import type { Random } from "./rollouts_random.ts";

/** Fault of the new version. Shares are from 0 to 1. */
export interface Fault {
  readonly errorShare: number;
  readonly hangShare: number;
  /** Factor on the latency of the version's calls. */
  readonly slowdown: number;
  /** Calls that the fault affects. */
  readonly when: FaultPlace;
}

/** Calls that a fault affects, by time, route, share or failure domain. */
export const FaultPlace = {
  Always: "always",
  Baking: "baking",
  /** While the version's share is at least 30% of the calls. */
  UnderLoad: "under-load",
  OneRoute: "one-route",
  OneDomain: "one-domain",
  /** During the first 4 s of every 12 s. */
  Flapping: "flapping",
} as const;
export type FaultPlace = typeof FaultPlace[keyof typeof FaultPlace];

/** A deployment with the traffic of one service. */
export interface Deployment {
  readonly name: string;
  readonly domains: number;
  readonly nodesPerDomain: number;
  /** Calls per second of the service. */
  readonly rate: number;
  /** Median latency in milliseconds. */
  readonly latencyMs: number;
}

/** Fault outside the new version, during its rollout. */
export const ExternalFault = {
  None: "none",
  /** Calls to both versions fail in the last 6 s of every 20 s. */
  SharedFault: "shared-fault",
  /** The log accepts no append for 15 s. */
  LogOutage: "log-outage",
  /** The holder of the rollout's lease is paused for 10 s. */
  HolderPause: "holder-pause",
  /** One message in five between nodes is lost. */
  Loss: "loss",
} as const;
export type ExternalFault = typeof ExternalFault[keyof typeof ExternalFault];

export interface Scenario {
  readonly seed: number;
  readonly deployment: Deployment;
  readonly fault?: Fault;
  /**
   * Fault outside the version, `none` if there is none. The name is printed
   * with an unexpected outcome.
   */
  readonly trouble: ExternalFault;
  /** Time in which the rollout must end, in milliseconds. */
  readonly totalMs: number;
}

export const DEPLOYMENTS: readonly Deployment[] = [
  {
    name: "guild",
    domains: 4,
    nodesPerDomain: 3,
    rate: 80,
    latencyMs: 6,
  },
  {
    name: "veldhuis",
    domains: 3,
    nodesPerDomain: 4,
    rate: 160,
    latencyMs: 5,
  },
];

/** Smallest faults that a rollout must detect: see docs/DESIGN.md. */
export const MIN_DETECTABLE = { errors: 0.1, slowdown: 4, hangs: 0.1 } as const;

const FAULT_KINDS = ["errors", "slow", "hang"] as const;

/** Draws a fault of a detectable size. */
function drawFault(random: Random, when: FaultPlace): Fault {
  const none = { errorShare: 0, hangShare: 0, slowdown: 1, when };
  const size = random.uniform() ** 2;
  switch (random.pick(FAULT_KINDS)) {
    case "errors": {
      const errorShare = MIN_DETECTABLE.errors +
        size * (1 - MIN_DETECTABLE.errors);
      return { ...none, errorShare };
    }
    case "slow":
      return { ...none, slowdown: MIN_DETECTABLE.slowdown + 8 * size };
    case "hang": {
      const hangShare = MIN_DETECTABLE.hangs +
        size * (1 - MIN_DETECTABLE.hangs);
      return { ...none, hangShare };
    }
  }
}

/** Draws scenarios. Every other version is good. */
export function drawScenarios(
  random: Random,
  count: number,
): readonly Scenario[] {
  const places = Object.values(FaultPlace);
  const externalFaults = Object.values(ExternalFault);
  return Array.from({ length: count }, (_, index) => {
    const isBad = index % 2 === 1;
    const when = places[Math.floor(index / 2) % places.length] as FaultPlace;
    // In half of the scenarios a fault outside the version is drawn, too. The
    // draw may be `none`.
    const hasExternalFault = random.uniform() < 0.5;
    const drawn = hasExternalFault
      ? random.pick(externalFaults)
      : ExternalFault.None;
    // A fault can be detected only while the old version is healthy.
    const externalFault = isBad && drawn === ExternalFault.SharedFault
      ? ExternalFault.None
      : drawn;
    return {
      seed: Math.floor(random.uniform() * 2 ** 31),
      deployment: random.pick(DEPLOYMENTS),
      ...(isBad ? { fault: drawFault(random, when) } : {}),
      trouble: externalFault,
      totalMs: 120_000 + 60_000 * Math.floor(random.uniform() * 3),
    };
  });
}
