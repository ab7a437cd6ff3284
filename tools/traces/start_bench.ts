/**
 * A small fleet that records its traces, with upstreams and an operator.
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

const limitMs = 60_000;
const service = "portaal";

/** Options of `startBench`. */
export interface StartBenchOptions {
  readonly domains: readonly string[];
  readonly nodes: number;
  /** Version of the upstream beside each node, none where absent. */
  readonly versions: readonly string[];
}

export interface Call {
  readonly status: number;
  readonly isNotRun: boolean;
}

export interface Bench {
  readonly fleet: Fleet;
  readonly upstreams: readonly FakeUpstream[];
  /** Sends a call through a node, with a key when it may not be repeated. */
  call(node: number, path: string, key?: string): Promise<Call>;
  /** Publishes lists that ask for a version. */
  publish(node: number, version: string, plans?: number): Promise<Verdict>;
  /** Changes from what a node knows to a version, for `send`. */
  plan(
    node: number,
    version: string,
    plans?: number,
  ): Promise<readonly EntryChange[]>;
  send(node: number, changes: readonly EntryChange[]): Promise<Verdict>;
  rollouts(node: number): Promise<readonly Rollout[]>;
  /** Node that took a lease last. */
  holder(): Promise<string | undefined>;
  /** Waits until every node knows every other. */
  meet(): Promise<void>;
  /** Waits until each live node has the newest version in force. */
  settle(): Promise<void>;
  /** Stops all and returns the recordings, one after the other. */
  stop(): Promise<readonly string[]>;
}

/** Starts the fleet and waits until it serves the first lists. */
export async function startBench(opts: StartBenchOptions): Promise<Bench> {
  const dir = await mkdtemp(join(tmpdir(), "lagoon-traces-"));
  const fleet = await startFleet({
    record: dir,
    deployment: {
      name: "traces",
      region: "nl-west",
      domains: opts.domains,
      services: [
        { service, endpoints: opts.nodes, read: "/read", write: "/pay" },
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
        service,
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

  async function ask<T>(
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
    const current = await ask<RevisedLists>(node, "GET", "/v1/lists");
    const text = listsOf(version, plans);
    const asked = parseLists({ file: "lists.yaml", text })._unsafeUnwrap();
    return planEdit({ current, asked });
  }

  const send = (node: number, changes: readonly EntryChange[]) =>
    ask<Verdict>(node, "POST", "/v1/edits", {
      editor: `operator-${node}`,
      changes,
    });

  async function settle() {
    await waitFor({
      what: "all nodes serve the same version",
      limitMs,
      isTrue: async () => {
        const live = fleet.nodes.map((one, index) => ({ one, index }))
          .filter(({ one }) => one.isUp);
        const versions = await Promise.all(live.map(async ({ index }) => {
          const status = await ask<NodeStatus>(
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
        `http://${fleet.nodes[node]?.call}/${service}${path}`,
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
      (await ask<{ rollouts: readonly Rollout[] }>(
        node,
        "GET",
        "/v1/rollouts",
      )).rollouts,
    async holder() {
      const path = `/streams/${CONFIG_STREAM}/records?max=1000`;
      const res = await request(`${fleet.logUrl}${path}`);
      const { records } = await res.body.json() as { records: LogRecord[] };
      const taken = records
        .map(({ body }) => (JSON.parse(body) as Envelope).record)
        .findLast((record) => record.kind === RecordKind.Lease);
      return taken?.holder;
    },
    meet: () =>
      waitFor({
        what: "all nodes know each other",
        limitMs,
        isTrue: async () => {
          const statuses = await Promise.all(
            fleet.nodes.map((_, index) =>
              ask<NodeStatus>(index, "GET", "/v1/status")
            ),
          );
          return statuses.every(({ domains }) =>
            domains.reduce((sum, one) => sum + one.nodes, 0) === opts.nodes
          );
        },
      }),
    settle,
    async stop() {
      await fleet.close();
      await Promise.all(upstreams.map((one) => one.close()));
      const lines = await readRecordings(dir);
      await rm(dir, { recursive: true });
      return lines;
    },
  };
}

async function readRecordings(dir: string): Promise<string[]> {
  const files = (await readdir(dir)).sort();
  const texts = await Promise.all(
    files.map((file) => readFile(join(dir, file), "utf8")),
  );
  return texts.flatMap((text) => text.split("\n").flatMap(wholeLine));
}

/** A killed node leaves half a line, before a new start's header perhaps. */
function wholeLine(line: string): string[] {
  const header = line.lastIndexOf('{"type":"header"');
  const whole = header > 0 ? line.slice(header) : line;
  try {
    JSON.parse(whole);
    return [whole];
  } catch {
    return [];
  }
}

function listsOf(version: string, plans: number): string {
  const uses = Array.from({ length: plans }, (_, index) => `
  - plan: plan-${index}
    service: ${service}
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
