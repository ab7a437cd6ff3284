/**
 * Experiment `once`: claims for non-repeatable calls, with a log that accepts
 * a limited rate of appends.
 *
 * Nodes exchange messages in memory. The log is reached over loopback.
 * @module
 */
import {
  type ClaimRequestDriver,
  driveClaimRequests,
} from "../../src/adapters/drive_claim_requests.ts";
import { NOOP_METRICS } from "../../src/adapters/metrics.ts";
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

const APPENDS_PER_SECOND = 300;
const APPEND_DELAY_MS = 3;
const STARTUP_LIMIT_MS = 20_000;
const CALM_DELAY_MS = 50;
const CALL_DEADLINE_MS = 5_000;

/** Numbers of nodes that submit claims, and of their failure domains. */
const FLEET_SIZES = [
  { nodes: 1, domains: 1 },
  { nodes: 4, domains: 1 },
  { nodes: 16, domains: 1 },
  { nodes: 40, domains: 20 },
];

/** Submits claims at a low rate, then at the highest possible rate. */
export async function runClaims(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const figures: Figure[] = [];
  for (const size of FLEET_SIZES) {
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

interface ClaimFleet {
  readonly nodes: readonly ClaimRequestDriver[];
  close(): Promise<void>;
}

interface ClaimTally {
  readonly latencies: number[];
  readonly runs: Map<string, number>;
  refused: number;
  storedAnswers: number;
}

async function measure(
  size: { nodes: number; domains: number },
): Promise<readonly Figure[]> {
  const log = await startFakeLog({
    host: "127.0.0.1",
    port: 0,
    retention: 100_000,
  });
  Object.assign(log.faults, {
    appendsPerSecond: APPENDS_PER_SECOND,
    appendDelayMs: APPEND_DELAY_MS,
  });
  const fleet = startFleet(log, size);
  try {
    await waitFor({
      what: "every domain has read the claims",
      limitMs: STARTUP_LIMIT_MS,
      isTrue: () => haveAllDomainsAnswered(fleet, size.domains),
    });
    const calm = await runLoad(fleet, {
      callersPerNode: 1,
      delayMs: CALM_DELAY_MS,
      durationMs: 2_000,
    });
    const before = log.totals.appends;
    const busyMs = 3_000;
    const busy = await runLoad(fleet, {
      callersPerNode: Math.ceil(400 / size.nodes),
      delayMs: 0,
      durationMs: busyMs,
    });
    const name = `${size.nodes} nodes, ${size.domains} domains`;
    const twice = [...calm.runs.values(), ...busy.runs.values()]
      .filter((count) => count > 1).length;
    return [
      figure(`${name}: claim p50, calm`, percentileMs(calm, 0.5), "ms"),
      figure(`${name}: claim p99, calm`, percentileMs(calm, 0.99), "ms"),
      figure(
        `${name}: claims run, busy`,
        busy.runs.size / busyMs * 1_000,
        "/s",
      ),
      figure(`${name}: claim p99, busy`, percentileMs(busy, 0.99), "ms"),
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

/**
 * Probe claims by fleet. The claim of a failure domain's first node is decided
 * once the claim readers of the domain are ready.
 */
const readyProbes = new WeakMap<
  ClaimFleet,
  { asked: boolean; count: number }
>();

function haveAllDomainsAnswered(fleet: ClaimFleet, domains: number): boolean {
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
): ClaimFleet {
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
        metrics: NOOP_METRICS,
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

interface LoadOptions {
  /** Callers of each node. Each sends one call at a time. */
  readonly callersPerNode: number;
  /** Delay after each call, in milliseconds. */
  readonly delayMs: number;
  readonly durationMs: number;
}

async function runLoad(
  fleet: ClaimFleet,
  load: LoadOptions,
): Promise<ClaimTally> {
  const tally: ClaimTally = {
    latencies: [],
    runs: new Map(),
    refused: 0,
    storedAnswers: 0,
  };
  const endsAt = performance.now() + load.durationMs;
  const callers = fleet.nodes.flatMap((node, index) =>
    Array.from(
      { length: load.callersPerNode },
      (_, caller) =>
        runCaller(fleet, node, `${load.delayMs}/${index}/${caller}`, {
          load,
          endsAt,
          tally,
        }),
    )
  );
  await Promise.all(callers);
  return tally;
}

async function runCaller(
  fleet: ClaimFleet,
  node: ClaimRequestDriver,
  name: string,
  opts: { load: LoadOptions; endsAt: number; tally: ClaimTally },
) {
  const { load, endsAt, tally } = opts;
  for (let count = 0; performance.now() < endsAt; count++) {
    const key = `${name}/${count}`;
    const startedAt = performance.now();
    const first = submitClaim(node, key, tally);
    // Every tenth call is submitted through a second node at the same time.
    const other = fleet.nodes[(count + 1) % fleet.nodes.length] ?? node;
    const resend = count % 10 === 0
      ? submitClaim(other, key, tally)
      : undefined;
    if (await first) tally.latencies.push(performance.now() - startedAt);
    await resend;
    if (load.delayMs > 0) {
      await new Promise((resolve) => setTimeout(resolve, load.delayMs));
    }
  }
}

/** Returns whether the call may run; if so, records its outcome at once. */
async function submitClaim(
  node: ClaimRequestDriver,
  key: string,
  tally: ClaimTally,
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
      tally.storedAnswers++;
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
    deadlineAt: performance.now() + CALL_DEADLINE_MS,
  });
}

function percentileMs(tally: ClaimTally, share: number): number {
  const sorted = tally.latencies.toSorted((a, b) => a - b);
  return sorted[Math.floor(sorted.length * share)] ?? NaN;
}
