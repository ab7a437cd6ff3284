/**
 * Measures the time from an edit until every process of a small fleet has
 * applied it.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { callAdmin } from "../../src/adapters/admin_client.ts";
import { startFakeLog } from "../fake_log.ts";
import { freePorts } from "../free_ports.ts";
import { waitFor } from "../wait_for.ts";
import { type Figure, figure } from "./figure.ts";

const NODE_COUNT = 8;
const EDIT_COUNT = 30;
const WAIT_LIMIT_MS = 30_000;

interface Status {
  readonly applied: number;
  readonly domains: readonly { nodes: number }[];
}

/** Runs 8 processes in 2 failure domains and makes 30 edits. */
export async function measureConvergence(
  onProgress: (sentence: string) => void,
): Promise<Figure[]> {
  const host = "127.0.0.1";
  const log = await startFakeLog({ host, port: 0, retention: 10_000 });
  const ports = await freePorts(NODE_COUNT * 3);
  const at = (index: number) => `${host}:${ports[index]}`;
  const admins = Array.from({ length: NODE_COUNT }, (_, i) => at(i * 3 + 2));
  const nodes = admins.map((admin, index) =>
    startNode(log.url, {
      domain: index % 2 === 0 ? "zone-a" : "zone-b",
      peer: at(index * 3),
      call: at(index * 3 + 1),
      admin,
      seeds: [at(0), at(3)],
    })
  );
  try {
    await waitFor({
      what: "every node lists all nodes as members",
      limitMs: WAIT_LIMIT_MS,
      isTrue: async () => {
        const all = await Promise.all(admins.map(readStatus));
        return all.every((one) =>
          one?.domains.length === 2 &&
          one.domains.every((domain) => domain.nodes === NODE_COUNT / 2)
        );
      },
    });
    onProgress("Editing the lists.");
    const times: number[] = [];
    for (let index = 0; index < EDIT_COUNT; index++) {
      times.push(await timeEdit(admins, index));
    }
    return createFigures(times);
  } finally {
    for (const node of nodes) node.kill("SIGKILL");
    await log.close();
  }
}

interface NodeAddresses {
  readonly domain: string;
  readonly peer: string;
  readonly call: string;
  readonly admin: string;
  readonly seeds: readonly string[];
}

function startNode(logUrl: string, one: NodeAddresses): ChildProcess {
  return spawn(process.execPath, [
    "dist/src/bin/lagoon_node.js",
    `--domain=${one.domain}`,
    `--peer-addr=${one.peer}`,
    `--call-addr=${one.call}`,
    `--admin-addr=${one.admin}`,
    `--seeds=${one.seeds.join()}`,
    `--log-url=${logUrl}`,
  ], { stdio: "ignore" });
}

async function readStatus(node: string): Promise<Status | undefined> {
  const reply = await callAdmin({ node, method: "GET", path: "/v1/status" });
  return reply.isOk() ? reply.value.body as Status : undefined;
}

/** Returns the milliseconds until every node has applied an edit. */
async function timeEdit(
  admins: readonly string[],
  index: number,
): Promise<number> {
  const startedAt = performance.now();
  const reply = await callAdmin({
    node: admins[index % admins.length] ?? "",
    method: "POST",
    path: "/v1/edits",
    body: editOf(index),
  });
  const verdict = reply._unsafeUnwrap().body as { offset: number };
  let pending = [...admins];
  await waitFor({
    what: `every node has applied edit ${index}`,
    limitMs: WAIT_LIMIT_MS,
    isTrue: async () => {
      const all = await Promise.all(pending.map(readStatus));
      pending = pending.filter((_, at) =>
        (all[at]?.applied ?? 0) < verdict.offset
      );
      return pending.length === 0;
    },
  });
  return performance.now() - startedAt;
}

/** Each edit adds an entry of its own, so no edit depends on another one. */
function editOf(index: number) {
  const service = `service-${index}`;
  return {
    editor: "experiment",
    changes: [{
      list: "uses",
      key: `basic/${service}`,
      expected: 0,
      value: {
        plan: "basic",
        service,
        version: "v1",
        whenUnjudged: "proceed",
        routes: [{
          name: "all",
          path: "/",
          methods: ["GET"],
          repeatable: true,
          timeoutMs: 1_000,
        }],
      },
    }],
  };
}

function createFigures(times: readonly number[]): Figure[] {
  const sorted = [...times].sort((a, b) => a - b);
  const quantile = (share: number) =>
    (sorted[Math.min(sorted.length - 1, Math.floor(share * sorted.length))] ??
      0) / 1_000;
  const name =
    `${NODE_COUNT} processes, ${EDIT_COUNT} edits: in force everywhere`;
  return [
    figure(`${name}, p50`, quantile(0.5), "s"),
    figure(`${name}, p99`, quantile(0.99), "s", "< 2"),
    figure(`${name}, max`, quantile(1), "s"),
  ];
}
