import assert from "node:assert/strict";
import { test } from "node:test";
import fc from "fast-check";
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import type { Allowance } from "../accounts/state.ts";
import { checkProperty } from "../testing/check_property.ts";
import {
  type AllowanceSimulation,
  createAllowanceSimulation,
  type Outcome,
} from "../testing/create_allowance_simulation.ts";

const TERMS = { windowMs: 5_000, overage: 0.1, slack: 20 };

/** Without permitted excess, no fault in the accounting of shares is hidden. */
const EXACT_TERMS = { windowMs: 5_000, overage: 0, slack: 0 };

const WINDOWS_MS = [1_000, 5_000, 10_000];
const END_MS = 16_000;

const Fault = {
  Kill: "kill",
  Restart: "restart",
  Freeze: "freeze",
  Suspend: "suspend",
  Cut: "cut",
  Heal: "heal",
  Join: "join",
  Lower: "lower",
} as const;

const faults = fc.array(
  fc.record({
    at: fc.integer({ min: 500, max: END_MS }),
    type: fc.constantFrom(...Object.values(Fault)),
    node: fc.nat(50),
    /** Whether the fault is that of the first node's allocator. */
    isAllocator: fc.boolean(),
    ms: fc.integer({ min: 50, max: 6_000 }),
  }),
  { minLength: 6, maxLength: 24, size: "max" },
);

/** Steps of 10 ms in which bursts of requests arrive. */
const patterns = fc.record({
  seed: fc.integer({ min: 1, max: 2 ** 31 - 1 }),
  /** In small fleets, one share used twice shows. */
  nodes: fc.integer({ min: 4, max: 16 }),
  domains: fc.integer({ min: 2, max: 4 }),
  /** Demand as a multiple of the limit. */
  factor: fc.oneof(
    fc.double({ min: 0.1, max: 0.9, noNaN: true }),
    fc.double({ min: 1, max: 6, noNaN: true }),
  ),
  /** Number of nodes that get the requests at any time. */
  spread: fc.integer({ min: 1, max: 16 }),
  rate: fc.constantFrom(20, 100, 440),
  /** Requests come in every second period. */
  periodMs: fc.integer({ min: 500, max: 16_000 }),
  burst: fc.constantFrom(0.2, 1, 3),
  lossShare: fc.constantFrom(0, 0, 0.02, 0.3),
  lateShare: fc.constantFrom(0, 0, 0.02, 0.3),
  returnShare: fc.constantFrom(0, 0.1),
  faults,
});

/** Returns numbers from 0 to 1 in a fixed order. */
function randomOf(seed: number): () => number {
  const generator = xoroshiro128plus(seed);
  return () => uniformFloat64(generator);
}

/** Most admissions in any window, as a fraction of what the limit allows. */
function worstWindow(
  outcomes: readonly Outcome[],
  excess: number,
  limitAt: (from: number) => Allowance,
): { readonly share: number; readonly text: string } {
  const times = outcomes.filter(({ isAdmitted }) => isAdmitted)
    .map(({ endedAt }) => endedAt);
  let worst = { share: 0, text: "" };
  for (const windowMs of WINDOWS_MS) {
    let first = 0;
    for (const [index, end] of times.entries()) {
      while ((times[first] as number) <= end - windowMs) first++;
      const { perSecond, burst } = limitAt(end - windowMs);
      const allowed = (perSecond * windowMs / 1_000 + burst) * (1 + excess);
      const count = index - first + 1;
      if (count / allowed > worst.share) {
        const text = `${count} of ${allowed} in ${windowMs} ms to ${end}`;
        worst = { share: count / allowed, text };
      }
    }
  }
  return worst;
}

test("no window exceeds the limit under any faults", () => {
  let worst = 0;
  checkProperty(
    fc.property(patterns, (pattern) => {
      const random = randomOf(pattern.seed);
      const { rate, nodes, domains } = pattern;
      const limit = { perSecond: rate, burst: rate * pattern.burst };
      const lowered = { perSecond: rate / 4, burst: limit.burst / 4 };
      const sim = createAllowanceSimulation({
        ...pattern,
        random,
        terms: EXACT_TERMS,
        allowances: { a: limit },
      });
      let loweredAt = Infinity;
      let joins = 0;
      const planned = [...pattern.faults].sort((a, b) => a.at - b.at);
      let due = 0;
      for (let at = 0; at < END_MS; at += 10) {
        while ((planned[due]?.at ?? Infinity) <= at) {
          const { type, ms, ...fault } = planned[due++] as (typeof planned)[0];
          const node = fault.isAllocator
            ? sim.allocatorIndex(fault.node % 2 === 0)
            : fault.node;
          if (type === Fault.Join) joins++;
          if (type === Fault.Lower) loweredAt = Math.min(loweredAt, at);
          inject(sim, type, node, ms, lowered);
        }
        const home = Math.floor(at / 5_000) * 7;
        const isPause = Math.floor(at / pattern.periodMs) % 2 === 1;
        const due10 = isPause ? 0 : pattern.factor * rate / 100;
        const count = Math.floor(due10) + (random() < due10 % 1 ? 1 : 0);
        for (let n = 0; n < count; n++) {
          sim.request(home + Math.floor(random() * pattern.spread), "a");
        }
        sim.runUntil(at + 10);
        if (at % 50 > 0) continue;
        const inUse = sim.inUse("a");
        const excess = 1 + joins / nodes + 1e-6;
        assert.ok(inUse.share <= excess, `shares ${inUse.share} at ${at}`);
        const isLowered = loweredAt < at;
        const most = isLowered ? Infinity : limit.burst * excess;
        assert.ok(inUse.tokens <= most, `tokens ${inUse.tokens} at ${at}`);
      }
      // A freeze of up to 6 s delays the adoption of a lowered limit.
      const bindsAt = loweredAt + 6_500 + TERMS.windowMs;
      const { share, text } = worstWindow(
        sim.outcomes,
        // Nodes that joined and are not known everywhere.
        joins / nodes,
        (from) => from >= bindsAt ? lowered : limit,
      );
      worst = Math.max(worst, share);
      assert.ok(share <= 1, `${text}, ${domains} domains`);
    }),
    { runs: 60 },
  );
  console.log(`worst window: ${worst.toFixed(3)} of the limit`);
});

function inject(
  sim: AllowanceSimulation,
  type: (typeof Fault)[keyof typeof Fault],
  node: number,
  ms: number,
  lowered: Allowance,
) {
  switch (type) {
    case Fault.Kill:
      return sim.kill(node);
    case Fault.Restart: {
      sim.kill(node);
      return sim.restart(node);
    }
    case Fault.Freeze:
      return sim.freeze(node, ms, false);
    case Fault.Suspend:
      return sim.freeze(node, ms, true);
    case Fault.Cut:
      return sim.cut(node);
    case Fault.Heal:
      return sim.heal();
    case Fault.Join:
      return sim.join(node);
    case Fault.Lower:
      return sim.limit({ a: lowered });
  }
}

interface Demand {
  readonly name: string;
  readonly factor: number;
  readonly nodeAt: (at: number, random: number, nodes: number) => number;
}

/** Domains of the simulation are assigned in turn, so 4 steps stay in one. */
const DEMANDS: readonly Demand[] = [
  { name: "one node", factor: 0.9, nodeAt: () => 3 },
  {
    name: "one domain",
    factor: 0.9,
    nodeAt: (_, random, nodes) => 4 * Math.floor(random * nodes / 4),
  },
  {
    name: "moving",
    factor: 0.9,
    nodeAt: (at) => 5 * Math.floor(at / 5_000),
  },
  {
    name: "uniform 0.6",
    factor: 0.6,
    nodeAt: (_, random, nodes) => Math.floor(random * nodes),
  },
  {
    name: "hot x4",
    factor: 4,
    nodeAt: (_, random, nodes) => Math.floor(random * nodes),
  },
];

test("requests below the limit are not refused", () => {
  const rows: Record<string, unknown>[] = [];
  for (const nodes of [14, 58]) {
    for (const rate of [5, 50, 440]) {
      for (const demand of DEMANDS) {
        const row = measure(nodes, rate, demand);
        rows.push(row);
        const refused = row.refused as number;
        if (demand.factor < 1) assert.ok(refused < 0.02, JSON.stringify(row));
        else assert.ok(row.ofLimit as number > 0.85, JSON.stringify(row));
      }
    }
  }
  console.table(rows);
});

function measure(nodes: number, rate: number, demand: Demand) {
  const random = randomOf(7);
  const sim = createAllowanceSimulation({
    nodes,
    domains: 4,
    random,
    terms: TERMS,
    allowances: { a: { perSecond: rate, burst: rate } },
  });
  const startMs = 7_000;
  const endMs = 32_000;
  let nextAt = startMs;
  // One bucket with exactly the rate and burst of the account.
  const ideal = { level: rate, at: startMs, refused: 0 };
  while (nextAt < endMs) {
    const generated = (nextAt - ideal.at) * rate / 1_000;
    ideal.level = Math.min(rate, ideal.level + generated);
    ideal.at = nextAt;
    if (ideal.level >= 1) ideal.level--;
    else ideal.refused++;
    sim.runUntil(nextAt);
    sim.request(demand.nodeAt(nextAt - startMs, random(), nodes), "a");
    nextAt += (0.5 + random()) * 1_000 / (rate * demand.factor);
  }
  sim.runUntil(endMs + 500);
  const isSettled = ({ sentAt }: Outcome) => {
    const sinceMoveMs = (sentAt - startMs) % 5_000;
    return demand.name === "moving" ? sinceMoveMs >= 1_000 : true;
  };
  const settled = sim.outcomes.filter(isSettled);
  const admitted = settled.filter(({ isAdmitted }) => isAdmitted);
  const waits = admitted.map(({ sentAt, endedAt }) => endedAt - sentAt)
    .sort((a, b) => a - b);
  const seconds = (endMs - startMs) / 1_000;
  return {
    nodes,
    rate,
    demand: demand.name,
    requests: settled.length,
    refused: round(1 - admitted.length / settled.length),
    idealRefused: round(ideal.refused / sim.outcomes.length),
    waitMs50: round(waits[Math.floor(waits.length * 0.5)] ?? 0),
    waitMs99: round(waits[Math.floor(waits.length * 0.99)] ?? 0),
    ofLimit: round(admitted.length / (rate * seconds)),
    messagesPerNodeSecond: round(sim.sent.messages / nodes / 32),
    crossingPerSecond: round(sim.sent.crossing / 32),
  };
}

function round(value: number): number {
  return Math.round(value * 10_000) / 10_000;
}
