/**
 * Good and bad versions that the rollout experiment rolls out.
 * @module
 */
import type { Random } from "./rollouts_random.ts";

/** How the new version misbehaves. Shares are from 0 to 1. */
export interface Fault {
  readonly errorShare: number;
  readonly hangShare: number;
  /** Factor on the latency of its calls. */
  readonly slowdown: number;
  /** Where and when it shows. */
  readonly when: FaultPlace;
}

export const FaultPlace = {
  Always: "always",
  Baking: "baking",
  /** From 30% of calls on. */
  UnderLoad: "under-load",
  OneRoute: "one-route",
  OneDomain: "one-domain",
  /** 4 s in each 12 s. */
  Flapping: "flapping",
} as const;
export type FaultPlace = typeof FaultPlace[keyof typeof FaultPlace];

/** A deployment with the traffic of one service. */
export interface Deployment {
  readonly name: string;
  readonly domains: number;
  readonly nodesPerDomain: number;
  /** Calls a second of the service. */
  readonly rate: number;
  /** Median latency in milliseconds. */
  readonly latencyMs: number;
}

/** Trouble outside the version. */
export const Trouble = {
  None: "none",
  /** Both versions fail for 6 s, three times. */
  SharedFault: "shared-fault",
  /** The log takes nothing for 15 s. */
  LogOutage: "log-outage",
  /** The holder is dead for 10 s. */
  HolderPause: "holder-pause",
  /** One message in five between nodes is lost. */
  Loss: "loss",
} as const;
export type Trouble = typeof Trouble[keyof typeof Trouble];

export interface Scenario {
  readonly seed: number;
  readonly deployment: Deployment;
  readonly fault?: Fault;
  readonly trouble: Trouble;
  /** Time given to the rollout in milliseconds. */
  readonly totalMs: number;
}

export const deployments: readonly Deployment[] = [
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

/** Smallest faults that count as detectable: see docs/DESIGN.md. */
export const detectable = { errors: 0.1, slowdown: 4, hangs: 0.1 } as const;

const faultKinds = ["errors", "slow", "hang"] as const;

/** Draws a fault of a detectable size. */
function drawFault(random: Random, when: FaultPlace): Fault {
  const none = { errorShare: 0, hangShare: 0, slowdown: 1, when };
  const size = random.uniform() ** 2;
  switch (random.pick(faultKinds)) {
    case "errors": {
      const errorShare = detectable.errors + size * (1 - detectable.errors);
      return { ...none, errorShare };
    }
    case "slow":
      return { ...none, slowdown: detectable.slowdown + 8 * size };
    case "hang": {
      const hangShare = detectable.hangs + size * (1 - detectable.hangs);
      return { ...none, hangShare };
    }
  }
}

/** Draws the seeded mix: half of the versions are good. */
export function drawScenarios(
  random: Random,
  count: number,
): readonly Scenario[] {
  const places = Object.values(FaultPlace);
  const troubles = Object.values(Trouble);
  return Array.from({ length: count }, (_, index) => {
    const isBad = index % 2 === 1;
    const when = places[Math.floor(index / 2) % places.length] as FaultPlace;
    // Half of the rollouts meet some trouble beside the version.
    const hasTrouble = random.uniform() < 0.5;
    const drawn = hasTrouble ? random.pick(troubles) : Trouble.None;
    // A fault is detectable beside a healthy old version only.
    const trouble = isBad && drawn === Trouble.SharedFault
      ? Trouble.None
      : drawn;
    return {
      seed: Math.floor(random.uniform() * 2 ** 31),
      deployment: random.pick(deployments),
      ...(isBad ? { fault: drawFault(random, when) } : {}),
      trouble,
      totalMs: 120_000 + 60_000 * Math.floor(random.uniform() * 3),
    };
  });
}
