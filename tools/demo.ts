/**
 * Demo: runs a log, nodes, upstreams and two rollouts as real processes on
 * this machine, and prints each step.
 *
 * Exits 0 only if the good version's rollout completed, the bad version was
 * rolled back, no calls failed except those that the bad version answered, and
 * every process stopped on request.
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

const ADMIN_KEY = "demo-key";
const SERVICE = "portaal";
const BAD_VERSION = "v3";
const CALL_INTERVAL_MS = 8;

/** Time limit of the demo, which lets it stop its processes within a minute. */
const DEMO_TIMEOUT_MS = 55_000;

/** Time from the edit by which the good version must serve all calls. */
const TAKE_OVER_WITHIN_MS = 18_000;

const startedAt = performance.now();
const processes = createProcesses();
let isInterrupted = false;
for (const signal of ["SIGINT", "SIGTERM", "SIGHUP"] as const) {
  process.on(signal, () => {
    isInterrupted = true;
  });
}

let hasSucceeded = false;
try {
  hasSucceeded = await runDemo();
} catch (err) {
  print(`The demo failed: ${err instanceof Error ? err.message : err}.`);
}
print("Stopping all processes after their running calls.");
const haveAllStopped = await processes.close();
print(
  haveAllStopped
    ? "All processes have stopped."
    : "Some processes failed to stop in time or exited with an error.",
);
process.exitCode = hasSucceeded && haveAllStopped ? 0 : 1;

async function runDemo(): Promise<boolean> {
  print("Starting a fake of the platform's log and 6 nodes, 3 in each of 2");
  print("failure domains. Upstreams of portaal v1 and facturatie v1 then");
  print("announce themselves to the nodes.");
  const nodes = await startFleet({ processes, key: ADMIN_KEY });
  await waitUntil(
    "every node answers on its admin port",
    () => areNodesUp(nodes),
  );
  const start = (name: string, version: string, errorPercent = 0) =>
    startUpstreams({
      processes,
      key: ADMIN_KEY,
      nodes,
      service: name,
      version,
      errorPercent,
    });
  start(SERVICE, "v1");
  start("facturatie", "v1");
  print("An operator publishes the lists of customers and uses:");
  await applyLists(nodes, "examples/lists");
  await waitUntil(
    "every listed service is active on every node",
    () => areServicesActive(nodes),
  );
  await runLagoonctl(nodes, "status");

  print("Two customers now call portaal continuously through every node.");
  const calls = startCalls({
    nodes: nodes.map((node) => node.call),
    customers: ["bakkerij-jansen", "notaris-de-wit"],
    path: `/${SERVICE}/accounts`,
    everyMs: CALL_INTERVAL_MS,
  });
  try {
    print("v2 starts beside v1. The operator rolls it out:");
    start(SERVICE, "v2");
    await applyLists(
      nodes,
      await addTakeOverTime("examples/moves/uses_v2.yaml", "v2"),
    );
    const goodPhase = await waitForOutcome(nodes, "v2");
    print(`${BAD_VERSION} starts too, and 60% of its calls fail. The operator`);
    print("does not know that and rolls it out:");
    start(SERVICE, BAD_VERSION, 60);
    await applyLists(nodes, "examples/moves/uses_v3.yaml");
    const badPhase = await waitForOutcome(nodes, BAD_VERSION);
    await calls.close();
    return goodPhase === RolloutPhase.Done &&
      badPhase === RolloutPhase.RolledBack &&
      printCalls(calls);
  } finally {
    await calls.close();
  }
}

async function areNodesUp(nodes: readonly DemoNode[]): Promise<boolean> {
  const replies = await Promise.all(nodes.map((node) => statusOf(node)));
  // Every node must know all nodes of both failure domains.
  return replies.every((status) =>
    status !== undefined && status.domains.length === 2 &&
    status.domains.every((domain) => domain.nodes === 3)
  );
}

async function areServicesActive(nodes: readonly DemoNode[]): Promise<boolean> {
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
  const reply = await queryNode(node, "/v1/status");
  return reply as NodeStatus | undefined;
}

async function queryNode(node: DemoNode, path: string): Promise<unknown> {
  const reply = await callAdmin({
    node: node.admin,
    key: ADMIN_KEY,
    method: "GET",
    path,
  });
  return reply.isOk() && reply.value.status === 200
    ? reply.value.body
    : undefined;
}

/** Copies a list file and sets `takeOverBy` for the version. */
async function addTakeOverTime(file: string, version: string): Promise<string> {
  const takeOverBy = new Date(Date.now() + TAKE_OVER_WITHIN_MS).toISOString();
  print(`  ${version} must serve all calls by ${takeOverBy}.`);
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
  await runLagoonctl(nodes, "apply", "--wait", ...files);
}

/** Runs lagoonctl and prints its output. */
async function runLagoonctl(
  nodes: readonly DemoNode[],
  ...args: readonly string[]
) {
  print(`  $ lagoonctl ${args.join(" ")}`);
  const result = await processes.run("src/bin/lagoonctl.js", [
    ...args,
    `--node=${nodes[0]?.admin}`,
    `--key=${ADMIN_KEY}`,
    "--editor=demo",
  ]);
  for (const line of result.lines) print(`  ${line}`);
  if (result.code !== 0) throw new Error(`lagoonctl exited ${result.code}`);
}

/** Waits until the rollout of a version ends and prints each step. */
async function waitForOutcome(
  nodes: readonly DemoNode[],
  version: string,
): Promise<RolloutPhase> {
  const [node] = nodes;
  let printedSteps = 0;
  let rollout: Rollout | undefined;
  await waitUntil(`the rollout of ${version} ends`, async () => {
    const reply = node && await queryNode(node, "/v1/rollouts");
    const { rollouts } = (reply ?? { rollouts: [] }) as {
      rollouts: readonly Rollout[];
    };
    rollout = rollouts.find((one) => one.version === version);
    for (const step of rollout?.steps.slice(printedSteps) ?? []) {
      const share = (step.perMille / 10).toFixed(1);
      print(`  ${version} ${step.phase}, ${share}% of calls: ${step.reason}`);
      printedSteps++;
    }
    return rollout?.phase === RolloutPhase.Done ||
      rollout?.phase === RolloutPhase.RolledBack;
  });
  if (rollout === undefined) throw new Error(`no rollout of ${version}`);
  await runLagoonctl(nodes, "explain", rollout.id);
  return rollout.phase;
}

/** Prints the counts. True if no call failed outside the bad version. */
function printCalls(calls: Calls): boolean {
  let areCallsUnharmed = true;
  for (const [version, { served, failed }] of calls.byVersion) {
    print(`Calls answered by ${version}: ${served} served, ${failed} failed.`);
    if (version !== BAD_VERSION && failed > 0) areCallsUnharmed = false;
  }
  print(
    areCallsUnharmed
      ? `No call failed except those that ${BAD_VERSION} answered.`
      : "Calls failed that the bad version did not answer.",
  );
  return areCallsUnharmed;
}

async function waitUntil(what: string, isTrue: () => Promise<boolean>) {
  const remainingMs = startedAt + DEMO_TIMEOUT_MS - performance.now();
  await waitFor({
    what,
    limitMs: remainingMs,
    isTrue: async () => {
      if (isInterrupted) throw new Error("interrupted by a signal");
      const [failure] = processes.unexpectedExits();
      if (failure !== undefined) throw new Error(failure);
      return await isTrue();
    },
  });
}

function print(line: string) {
  const seconds = ((performance.now() - startedAt) / 1_000).toFixed(1);
  process.stdout.write(`${seconds.padStart(5)} s  ${line}\n`);
}
