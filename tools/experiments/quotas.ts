/**
 * Experiment `quotas`: control traffic of the limits on accounts, and requests
 * below the limit that are refused after faults. Decisions without a network.
 * @module
 */
import { encodeMessage } from "../../src/links/encode_message.ts";
import {
  type AllowanceSimulation,
  createAllowanceSimulation,
  type SimulatedMessage,
} from "../../src/testing/create_allowance_simulation.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";
import { createRandom } from "./rollouts_random.ts";

const NODES = 58;
const DOMAINS = 4;
const TERMS = { windowMs: 5_000, overage: 0.1, slack: 20 };

/** Demand of the accounts per second: a few are large. */
const DEMANDS = Array.from({ length: 71 }, (_, index) => 269 / (index + 1));

/** Limits as a multiple of the demand. */
const LIMIT_SHARE = 1.6;

const START_MS = 5_000;
const MEASURED_MS = 20_000;

/** When a fault occurs, and until when it is ended. */
const FAULT_AT_MS = START_MS + 10_000;
const HEAL_AT_MS = FAULT_AT_MS + 5_000;

interface Fault {
  readonly name: string;
  readonly inject: (sim: AllowanceSimulation) => void;
}

const FAULTS: readonly Fault[] = [
  { name: "no fault", inject: () => {} },
  {
    name: "domain's allocator killed",
    inject: (sim) => sim.kill(sim.allocatorIndex(false)),
  },
  {
    name: "fleet's allocator killed",
    inject: (sim) => sim.kill(sim.allocatorIndex(true)),
  },
  {
    name: "fleet's allocator frozen for 3 s",
    inject: (sim) => sim.freeze(sim.allocatorIndex(true), 3_000, false),
  },
  {
    name: "domain of the fleet's allocator cut off for 5 s",
    inject: (sim) => sim.cut(sim.allocatorIndex(true) % DOMAINS),
  },
];

// deno-lint-ignore require-await
export async function runQuotas(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  for (const fault of FAULTS) {
    opts.onProgress(`${NODES} nodes, ${fault.name}`);
    figures.push(...runFault(fault, opts.seed));
  }
  return figures;
}

function runFault({ name, inject }: Fault, seed: number): Figure[] {
  const random = createRandom(seed);
  const bytes = new Map<string, number>();
  let messages = 0;
  let crossingBytes = 0;

  function count({ from, crosses, message }: SimulatedMessage) {
    if (sim.now() < START_MS) return;
    const { length } = encodeMessage(message);
    messages++;
    bytes.set(from, (bytes.get(from) ?? 0) + length);
    if (crosses) crossingBytes += length;
  }

  const sim = createAllowanceSimulation({
    nodes: NODES,
    domains: DOMAINS,
    terms: TERMS,
    random: random.uniform,
    allowances: Object.fromEntries(DEMANDS.map((demand, index) => {
      const perSecond = demand * LIMIT_SHARE;
      return [`account-${index}`, { perSecond, burst: perSecond }];
    })),
    onMessage: count,
  });
  sim.runUntil(START_MS);
  let hasFault = false;
  let isHealed = false;
  const stepMs = 5;
  for (let at = START_MS; at < START_MS + MEASURED_MS; at += stepMs) {
    if (!hasFault && at >= FAULT_AT_MS) {
      hasFault = true;
      inject(sim);
    }
    if (!isHealed && at >= HEAL_AT_MS) {
      isHealed = true;
      sim.heal();
    }
    for (const [index, demand] of DEMANDS.entries()) {
      for (let n = random.poisson(demand * stepMs / 1_000); n > 0; n--) {
        const node = Math.floor(random.uniform() * NODES);
        sim.request(node, `account-${index}`);
      }
    }
    sim.runUntil(at + stepMs);
  }
  sim.runUntil(START_MS + MEASURED_MS + 500);
  const { outcomes } = sim;
  const refused = outcomes.filter(({ isAdmitted }) => !isAdmitted).length;
  const waits = outcomes.map(({ sentAt, endedAt }) => endedAt - sentAt)
    .sort((a, b) => a - b);
  const waitOf = (share: number) =>
    waits[Math.floor(waits.length * share)] ?? 0;
  const result = [
    figure(`${name}: requests`, outcomes.length, ""),
    figure(`${name}: refused`, refused, ""),
  ];
  if (name !== FAULTS[0]?.name) return result;
  const seconds = MEASURED_MS / 1_000;
  const totals = [...bytes.values()].map((total) => total / seconds);
  const mean = totals.reduce((sum, total) => sum + total, 0) / NODES;
  return [
    ...result,
    figure("wait for a token, median", waitOf(0.5), "ms"),
    figure("wait for a token, 99 in 100", waitOf(0.99), "ms"),
    figure("messages sent by a node, mean", messages / NODES / seconds, "/s"),
    figure("bytes sent by a node, mean", mean, "B/s"),
    figure("bytes sent by the busiest node", Math.max(...totals), "B/s"),
    figure("bytes between domains, fleet", crossingBytes / seconds, "B/s"),
  ];
}
