/**
 * The whole path in real processes, told step by step.
 *
 * Exits 0 only if the good version was done, the bad one was taken back and
 * no call failed but those that the bad version answered.
 * @module
 */
import { mkdtemp, readFile, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import process from "node:process";
import { callAdmin } from "../src/adapters/admin_client.ts";
import { type Rollout, RolloutPhase } from "../src/config_log/state.ts";
import { type Calls, startCalls } from "./demo/calls.ts";
import { type DemoNode, startFleet, startUpstreams } from "./demo/fleet.ts";
import { createProcesses } from "./demo/processes.ts";
import { waitFor } from "./wait_for.ts";

const key = "demo-key";
const service = "portaal";
const badVersion = "v3";
const callEveryMs = 8;

/** Leaves room for the stop within a minute. */
const limitMs = 55_000;

/** Time that the good version has to take over, in milliseconds. */
const takeOverMs = 18_000;

const startedAt = performance.now();
const processes = createProcesses();
let isInterrupted = false;
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
  process.on(signal, () => {
    isInterrupted = true;
  });
}

let isGood = false;
try {
  isGood = await runDemo();
} catch (err) {
  tell(`The demo failed: ${err instanceof Error ? err.message : err}.`);
}
tell("Every process is asked to stop and finishes its calls.");
const isClean = await processes.close();
tell(isClean ? "All are down." : "Some had to be killed.");
process.exitCode = isGood && isClean ? 0 : 1;

async function runDemo(): Promise<boolean> {
  tell("A stand-in for the platform's log and 6 nodes start, 3 in each of 2");
  tell("failure domains. Upstreams of portaal v1 and facturatie v1 announce");
  tell("themselves to the nodes.");
  const nodes = await startFleet({ processes, key });
  await waitUntil("every node answers operators", () => areUp(nodes));
  const start = (name: string, version: string, errorPercent = 0) =>
    startUpstreams({
      processes,
      key,
      nodes,
      service: name,
      version,
      errorPercent,
    });
  start(service, "v1");
  start("facturatie", "v1");
  tell("An operator publishes the two lists:");
  await applyLists(nodes, "examples/lists");
  await waitUntil("portaal is active everywhere", () => areActive(nodes));
  await lagoonctl(nodes, "status");

  tell("Two customers call portaal through every node, without a pause.");
  const calls = startCalls({
    nodes: nodes.map((node) => node.call),
    customers: ["bakkerij-jansen", "notaris-de-wit"],
    path: `/${service}/accounts`,
    everyMs: callEveryMs,
  });
  try {
    tell("v2 starts beside v1. The operator asks for it:");
    start(service, "v2");
    await applyLists(
      nodes,
      await withTime("examples/moves/uses_v2.yaml", "v2"),
    );
    const good = await outcomeOf(nodes, "v2");
    tell(`${badVersion} starts too, and six in ten of its calls fail. The`);
    tell("operator can't know that and asks for it:");
    start(service, badVersion, 60);
    await applyLists(nodes, "examples/moves/uses_v3.yaml");
    const bad = await outcomeOf(nodes, badVersion);
    await calls.close();
    return good === RolloutPhase.Done && bad === RolloutPhase.RolledBack &&
      tellCalls(calls);
  } finally {
    await calls.close();
  }
}

async function areUp(nodes: readonly DemoNode[]): Promise<boolean> {
  const replies = await Promise.all(nodes.map((node) => statusOf(node)));
  // Every node knows its whole domain and the other one.
  return replies.every((status) =>
    status !== undefined && status.domains.length === 2 &&
    status.domains.every((domain) => domain.nodes === 3)
  );
}

async function areActive(nodes: readonly DemoNode[]): Promise<boolean> {
  const replies = await Promise.all(nodes.map((node) => statusOf(node)));
  return replies.every((status) =>
    status !== undefined && status.applied > 0 && status.inactive.length === 0
  );
}

interface NodeStatus {
  readonly applied: number;
  readonly inactive: readonly string[];
  readonly domains: readonly { readonly nodes: number }[];
}

async function statusOf(node: DemoNode): Promise<NodeStatus | undefined> {
  const reply = await ask(node, "/v1/status");
  return reply as NodeStatus | undefined;
}

async function ask(node: DemoNode, path: string): Promise<unknown> {
  const reply = await callAdmin({
    node: node.admin,
    key,
    method: "GET",
    path,
  });
  return reply.isOk() && reply.value.status === 200
    ? reply.value.body
    : undefined;
}

/** Copies a list, with a time by which the version has to take over. */
async function withTime(file: string, version: string): Promise<string> {
  const takeOverBy = new Date(Date.now() + takeOverMs).toISOString();
  tell(`  ${version} has to take over by ${takeOverBy}.`);
  const text = await readFile(file, "utf8");
  const timed = text.replaceAll(
    `    version: ${version}\n`,
    `    version: ${version}\n    takeOverBy: ${takeOverBy}\n`,
  );
  const copy = join(await mkdtemp(join(tmpdir(), "lagoon-demo-")), "uses.yaml");
  await writeFile(copy, timed);
  return copy;
}

async function applyLists(
  nodes: readonly DemoNode[],
  ...files: readonly string[]
) {
  await lagoonctl(nodes, "apply", "--wait", ...files);
}

/** Runs the operators' command line, and shows what it says. */
async function lagoonctl(
  nodes: readonly DemoNode[],
  ...args: readonly string[]
) {
  tell(`  $ lagoonctl ${args.join(" ")}`);
  const result = await processes.run("src/bin/lagoonctl.js", [
    ...args,
    `--node=${nodes[0]?.admin}`,
    `--key=${key}`,
    "--editor=demo",
  ]);
  for (const line of result.lines) tell(`  ${line}`);
  if (result.code !== 0) throw new Error(`lagoonctl exited ${result.code}`);
}

/** Follows the rollout of a version to its end, telling each step. */
async function outcomeOf(
  nodes: readonly DemoNode[],
  version: string,
): Promise<RolloutPhase> {
  const [node] = nodes;
  let told = 0;
  let rollout: Rollout | undefined;
  await waitUntil(`the rollout of ${version} ends`, async () => {
    const reply = node && await ask(node, "/v1/rollouts");
    const { rollouts } = (reply ?? { rollouts: [] }) as {
      rollouts: readonly Rollout[];
    };
    rollout = rollouts.find((one) => one.version === version);
    for (const step of rollout?.steps.slice(told) ?? []) {
      const share = (step.perMille / 10).toFixed(1);
      tell(`  ${version} ${step.phase}, ${share}% of calls: ${step.reason}`);
      told++;
    }
    return rollout?.phase === RolloutPhase.Done ||
      rollout?.phase === RolloutPhase.RolledBack;
  });
  if (rollout === undefined) throw new Error(`no rollout of ${version}`);
  await lagoonctl(nodes, "explain", rollout.id);
  return rollout.phase;
}

/** True when only calls that the bad version answered have failed. */
function tellCalls(calls: Calls): boolean {
  let isGoodForCallers = true;
  for (const [version, { served, failed }] of calls.byVersion) {
    tell(`Calls answered by ${version}: ${served} served, ${failed} failed.`);
    if (version !== badVersion && failed > 0) isGoodForCallers = false;
  }
  tell(
    isGoodForCallers
      ? `No call failed but those that ${badVersion} answered.`
      : "Calls failed that should not have.",
  );
  return isGoodForCallers;
}

async function waitUntil(what: string, isTrue: () => Promise<boolean>) {
  const leftMs = startedAt + limitMs - performance.now();
  await waitFor({
    what,
    limitMs: leftMs,
    isTrue: async () => {
      if (isInterrupted) throw new Error("interrupted");
      const [dead] = processes.died();
      if (dead !== undefined) throw new Error(dead);
      return await isTrue();
    },
  });
}

function tell(line: string) {
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(5)} s  ${line}\n`);
}
