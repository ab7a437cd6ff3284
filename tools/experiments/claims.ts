/**
 * Claims on calls that may not be repeated, against a log of limited rate.
 *
 * Nodes pass messages in memory; the log is reached over loopback.
 * @module
 */
import {
  type ClaimRequestDriver,
  driveClaimRequests,
} from "../../src/adapters/drive_claim_requests.ts";
import { noMetrics } from "../../src/adapters/metrics.ts";
import { NOOP_RECORDER } from "../../src/trace/create_recorder.ts";
import { createLogClient } from "../../src/adapters/log_client.ts";
import {
  createControlLoop,
  Priority,
} from "../../src/control/create_control_loop.ts";
import { MAX_HELD_CLAIMS } from "../../src/idempotency/decide_claim_reader.ts";
import { measureClaimMemory } from "./claim_memory.ts";
import type { IdempotencyMessage } from "../../src/idempotency/messages.ts";
import { type FakeLog, startFakeLog } from "../fake_log.ts";
import { waitFor } from "../wait_for.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const appendsPerSecond = 300;
const appendDelayMs = 3;
const warmUpMs = 20_000;
const paceMs = 50;
const callMs = 5_000;

/** Sizes measured: nodes that ask, in how many failure domains. */
const sizes = [
  { nodes: 1, domains: 1 },
  { nodes: 4, domains: 1 },
  { nodes: 16, domains: 1 },
  { nodes: 40, domains: 20 },
];

/** Runs claims at a calm rate, then as many as go through. */
export async function runOnce(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  for (const size of sizes) {
    opts.onProgress(`${size.nodes} nodes in ${size.domains} domains.`);
    figures.push(...await measure(size));
  }
  opts.onProgress("Memory of claims held.");
  figures.push(
    figure("memory of a claim held", measureClaimMemory(), "bytes"),
    figure("most claims held", MAX_HELD_CLAIMS, "claims"),
  );
  return figures;
}

interface Fleet {
  readonly nodes: readonly ClaimRequestDriver[];
  close(): Promise<void>;
}

interface Tally {
  readonly latencies: number[];
  readonly runs: Map<string, number>;
  refused: number;
  repeats: number;
}

async function measure(
  size: { nodes: number; domains: number },
): Promise<readonly Figure[]> {
  const log = await startFakeLog({
    host: "127.0.0.1",
    port: 0,
    retention: 100_000,
  });
  Object.assign(log.faults, { appendsPerSecond, appendDelayMs });
  const fleet = startFleet(log, size);
  try {
    await waitFor({
      what: "every domain has read the claims",
      limitMs: warmUpMs,
      isTrue: () => isReady(fleet, size.domains),
    });
    const calm = await run(fleet, { perNode: 1, paceMs, durationMs: 2_000 });
    const before = log.totals.appends;
    const busyMs = 3_000;
    const busy = await run(fleet, {
      perNode: Math.ceil(400 / size.nodes),
      paceMs: 0,
      durationMs: busyMs,
    });
    const name = `${size.nodes} nodes, ${size.domains} domains`;
    const twice = [...calm.runs.values(), ...busy.runs.values()]
      .filter((count) => count > 1).length;
    return [
      figure(`${name}: claim p50, calm`, rank(calm, 0.5), "ms"),
      figure(`${name}: claim p99, calm`, rank(calm, 0.99), "ms"),
      figure(
        `${name}: claims run, busy`,
        busy.runs.size / busyMs * 1_000,
        "/s",
      ),
      figure(`${name}: claim p99, busy`, rank(busy, 0.99), "ms"),
      figure(`${name}: refused as not run, busy`, busy.refused, "calls"),
      figure(
        `${name}: appends, busy`,
        (log.totals.appends - before) / busyMs * 1_000,
        "/s",
      ),
      figure(`${name}: keys run twice`, twice, "keys", "= 0"),
    ];
  } finally {
    await fleet.close();
    await log.close();
  }
}

/** A claim of each domain's first node shows that its readers decide. */
const readyProbes = new WeakMap<Fleet, { asked: boolean; count: number }>();

function isReady(fleet: Fleet, domains: number): boolean {
  const probe = readyProbes.get(fleet) ?? { asked: false, count: 0 };
  readyProbes.set(fleet, probe);
  if (!probe.asked) {
    probe.asked = true;
    fleet.nodes.slice(0, domains).forEach(async (node, index) => {
      for (;;) {
        const outcome = await claim(node, `probe-${index}`);
        if (outcome.type !== "refused" || !outcome.isNotRun) break;
      }
      probe.count++;
    });
  }
  return probe.count === domains;
}

function startFleet(
  log: FakeLog,
  size: { nodes: number; domains: number },
): Fleet {
  const drivers = new Map<string, ClaimRequestDriver>();
  const closers: (() => void | Promise<void>)[] = [];
  const nodes = Array.from({ length: size.nodes }, (_, index) => {
    const domain = `zone-${index % size.domains}`;
    const id = `node-${index}`;
    const loop = createControlLoop({
      onError: (err) => {
        throw err;
      },
      maxWaiting: 10_000,
    });
    const client = createLogClient({ url: log.url, timeoutMs: 5_000 });
    const send = (to: string, message: unknown) =>
      setImmediate(() =>
        drivers.get(to)?.receive(id, message as IdempotencyMessage)
      );
    const self = { id, domain, region: "r", boot: "b" };
    const now = () => performance.now();
    const node = driveClaimRequests({
      context: {
        self,
        loop,
        now,
        recorder: NOOP_RECORDER,
        metrics: noMetrics,
        send,
      },
      log: client,
      members: () =>
        [...drivers.keys()].filter((_, at) =>
          at % size.domains === index % size.domains
        ),
    });
    drivers.set(id, node);
    const timer = setInterval(() => loop.post(Priority.Config, node.tick), 200);
    closers.push(() => {
      clearInterval(timer);
      node.close();
      loop.close();
    }, () => client.close());
    return node;
  });
  return {
    nodes,
    close: async () => {
      for (const close of closers) await close();
    },
  };
}

interface Pace {
  /** Callers of each node, one call at a time each. */
  readonly perNode: number;
  /** Pause after each call, in milliseconds. */
  readonly paceMs: number;
  readonly durationMs: number;
}

async function run(fleet: Fleet, pace: Pace): Promise<Tally> {
  const tally: Tally = {
    latencies: [],
    runs: new Map(),
    refused: 0,
    repeats: 0,
  };
  const endsAt = performance.now() + pace.durationMs;
  const callers = fleet.nodes.flatMap((node, index) =>
    Array.from(
      { length: pace.perNode },
      (_, caller) =>
        runCaller(fleet, node, `${pace.paceMs}/${index}/${caller}`, {
          pace,
          endsAt,
          tally,
        }),
    )
  );
  await Promise.all(callers);
  return tally;
}

async function runCaller(
  fleet: Fleet,
  node: ClaimRequestDriver,
  name: string,
  opts: { pace: Pace; endsAt: number; tally: Tally },
) {
  const { pace, endsAt, tally } = opts;
  for (let count = 0; performance.now() < endsAt; count++) {
    const key = `${name}/${count}`;
    const startedAt = performance.now();
    const first = take(node, key, tally);
    // Every tenth call is sent to another node at the same time.
    const other = fleet.nodes[(count + 1) % fleet.nodes.length] ?? node;
    const resend = count % 10 === 0 ? take(other, key, tally) : undefined;
    if (await first) tally.latencies.push(performance.now() - startedAt);
    await resend;
    if (pace.paceMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, pace.paceMs));
    }
  }
}

/** True when the call may run. Its outcome is recorded at once. */
async function take(
  node: ClaimRequestDriver,
  key: string,
  tally: Tally,
): Promise<boolean> {
  const outcome = await claim(node, key);
  switch (outcome.type) {
    case "run":
      tally.runs.set(key, (tally.runs.get(key) ?? 0) + 1);
      node.settle(outcome.attempt, {
        type: "answered",
        status: 200,
        headers: {},
        body: "eyJvayI6dHJ1ZX0=",
      });
      return true;
    case "repeat":
      tally.repeats++;
      return false;
    case "refused":
      if (outcome.isNotRun) tally.refused++;
      return false;
  }
}

function claim(node: ClaimRequestDriver, key: string) {
  return node.claim({
    customer: "baker",
    service: "facturatie",
    idempotencyKey: key,
    method: "POST",
    path: "/pay",
    body: new Uint8Array(0),
    deadlineAt: performance.now() + callMs,
  });
}

function rank(tally: Tally, share: number): number {
  const sorted = tally.latencies.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length * share)] ?? NaN;
}
