/**
 * Test bench for scenarios: a small fleet of real processes that record their
 * traces, with fake upstreams and the requests of an operator.
 * @module
 */
import { mkdtemp, readdir, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { request } from "undici";
import { callAdmin } from "../../src/adapters/admin_client.ts";
import type { NodeStatus } from "../../src/adapters/admin_status.ts";
import {
  CONFIG_STREAM,
  type EntryChange,
  type Envelope,
  type LogRecord,
  RecordKind,
} from "../../src/config_log/messages.ts";
import type { Rollout, Verdict } from "../../src/config_log/state.ts";
import { parseLists } from "../../src/lists/parse_lists.ts";
import { planEdit, type RevisedLists } from "../../src/lists/plan_edit.ts";
import {
  type FakeUpstream,
  NO_FAULTS,
  startFakeUpstream,
} from "../fake_upstream.ts";
import { type Fleet, FLEET_KEY, startFleet } from "../fleet/start_fleet.ts";
import { waitFor } from "../wait_for.ts";

const WAIT_LIMIT_MS = 60_000;
const SERVICE = "portaal";

/** Options of `startBench`. */
export interface StartBenchOptions {
  readonly domains: readonly string[];
  readonly nodes: number;
  /** Version of the upstream on each node's VM; later nodes have none. */
  readonly versions: readonly string[];
}

export interface CallResult {
  readonly status: number;
  /** Whether the node states that the call did not run. */
  readonly isNotRun: boolean;
}

export interface Bench {
  readonly fleet: Fleet;
  readonly upstreams: readonly FakeUpstream[];
  /** Calls `path` through a node: GET, or POST with an idempotency key. */
  call(node: number, path: string, key?: string): Promise<CallResult>;
  /** Publishes lists in which `plans` plans use a version. */
  publish(node: number, version: string, plans?: number): Promise<Verdict>;
  /** Returns the changes from a node's lists to a version, for `send`. */
  plan(
    node: number,
    version: string,
    plans?: number,
  ): Promise<readonly EntryChange[]>;
  /** Submits changes as one edit through a node. */
  send(node: number, changes: readonly EntryChange[]): Promise<Verdict>;
  /** Returns the rollouts that a node lists. */
  rollouts(node: number): Promise<readonly Rollout[]>;
  /** Returns the holder that the last lease record in the log names. */
  leaseHolder(): Promise<string | undefined>;
  /** Waits until every node lists all nodes as members. */
  waitForMembers(): Promise<void>;
  /** Waits until all live nodes apply the same configuration version. */
  waitForConvergence(): Promise<void>;
  /** Stops all processes and returns the lines of all recordings. */
  stop(): Promise<readonly string[]>;
}

/** Starts the fleet and its upstreams. No lists are published yet. */
export async function startBench(opts: StartBenchOptions): Promise<Bench> {
  const dir = await mkdtemp(join(tmpdir(), "lagoon-traces-"));
  const fleet = await startFleet({
    record: dir,
    deployment: {
      name: "traces",
      region: "nl-west",
      domains: opts.domains,
      services: [
        {
          service: SERVICE,
          endpoints: opts.nodes,
          read: "/read",
          write: "/pay",
        },
      ],
      slots: 20,
      connections: 130,
    },
  });
  const adminOf = (node: number) => fleet.nodes[node]?.admin ?? "";
  const upstreams = await Promise.all(
    opts.versions.map((version, index) =>
      startFakeUpstream({
        host: "127.0.0.1",
        port: 0,
        service: SERVICE,
        version,
        slots: 20,
        connections: 130,
        homes: [adminOf(index)],
        key: FLEET_KEY,
        serviceMs: 2,
        faults: NO_FAULTS,
      })
    ),
  );

  async function requestAdmin<T>(
    node: number,
    method: "GET" | "POST",
    path: string,
    body?: unknown,
  ): Promise<T> {
    const reply = await callAdmin({
      node: adminOf(node),
      key: FLEET_KEY,
      method,
      path,
      ...(body === undefined ? {} : { body }),
    });
    if (reply.isErr()) throw new Error(reply.error.message);
    return reply.value.body as T;
  }

  async function plan(node: number, version: string, plans = 1) {
    const current = await requestAdmin<RevisedLists>(node, "GET", "/v1/lists");
    const text = formatLists(version, plans);
    const asked = parseLists({ file: "lists.yaml", text })._unsafeUnwrap();
    return planEdit({ current, requested: asked });
  }

  const send = (node: number, changes: readonly EntryChange[]) =>
    requestAdmin<Verdict>(node, "POST", "/v1/edits", {
      editor: `operator-${node}`,
      changes,
    });

  async function waitForConvergence() {
    await waitFor({
      what: "all live nodes apply the same version",
      limitMs: WAIT_LIMIT_MS,
      isTrue: async () => {
        const live = fleet.nodes.map((one, index) => ({ one, index }))
          .filter(({ one }) => one.isUp);
        const versions = await Promise.all(live.map(async ({ index }) => {
          const status = await requestAdmin<NodeStatus>(
            index,
            "GET",
            "/v1/status",
          ).catch(() => undefined);
          return status?.applied === status?.version ? status?.applied : 0;
        }));
        return versions[0] !== undefined && versions[0] > 0 &&
          versions.every((one) => one === versions[0]);
      },
    });
  }

  return {
    fleet,
    upstreams,
    async call(node, path, key) {
      const res = await request(
        `http://${fleet.nodes[node]?.call}/${SERVICE}${path}`,
        {
          method: key === undefined ? "GET" : "POST",
          headers: {
            "lagoon-customer": "baker",
            ...(key === undefined ? {} : { "idempotency-key": key }),
          },
        },
      );
      await res.body.dump();
      const isNotRun = res.headers["lagoon-not-run"] === "true";
      return { status: res.statusCode, isNotRun };
    },
    publish: async (node, version, plans) =>
      await send(node, await plan(node, version, plans)),
    plan,
    send,
    rollouts: async (node) =>
      (await requestAdmin<{ rollouts: readonly Rollout[] }>(
        node,
        "GET",
        "/v1/rollouts",
      )).rollouts,
    async leaseHolder() {
      const path = `/streams/${CONFIG_STREAM}/records?max=1000`;
      const res = await request(`${fleet.logUrl}${path}`);
      const { records } = await res.body.json() as { records: LogRecord[] };
      const lastLease = records
        .map(({ body }) => (JSON.parse(body) as Envelope).record)
        .findLast((record) => record.kind === RecordKind.Lease);
      return lastLease?.holder;
    },
    waitForMembers: () =>
      waitFor({
        what: "every node lists all nodes as members",
        limitMs: WAIT_LIMIT_MS,
        isTrue: async () => {
          const statuses = await Promise.all(
            fleet.nodes.map((_, index) =>
              requestAdmin<NodeStatus>(index, "GET", "/v1/status")
            ),
          );
          return statuses.every(({ domains }) =>
            domains.reduce((sum, one) => sum + one.nodes, 0) === opts.nodes
          );
        },
      }),
    waitForConvergence,
    async stop() {
      await fleet.close();
      await Promise.all(upstreams.map((one) => one.close()));
      const lines = await readRecordedLines(dir);
      await rm(dir, { recursive: true });
      return lines;
    },
  };
}

async function readRecordedLines(dir: string): Promise<string[]> {
  const files = (await readdir(dir)).sort();
  const texts = await Promise.all(
    files.map((file) => readFile(join(dir, file), "utf8")),
  );
  return texts.flatMap((text) => text.split("\n").flatMap(keepCompleteLine));
}

/**
 * Drops the incomplete line that a killed node leaves at the end of its
 * recording. If the node was restarted, its header follows on the same line
 * and is kept.
 */
function keepCompleteLine(line: string): string[] {
  const header = line.lastIndexOf('{"type":"header"');
  const completeLine = header > 0 ? line.slice(header) : line;
  try {
    JSON.parse(completeLine);
    return [completeLine];
  } catch {
    return [];
  }
}

function formatLists(version: string, plans: number): string {
  const uses = Array.from({ length: plans }, (_, index) => `
  - plan: plan-${index}
    service: ${SERVICE}
    version: ${version}
    routes:
      - { name: read, path: /read, methods: [GET], repeatable: true }
      - { name: crash, path: /crash, methods: [GET], repeatable: false }
      - { name: pay, path: /pay, methods: [POST], repeatable: false }
`);
  return `
customers:
  - { customer: baker, plan: plan-0 }
uses:${uses.join("")}`;
}
