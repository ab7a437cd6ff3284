/**
 * Actions that scenarios apply to the fleet of a test bench.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { pickReaders } from "../../src/distribution/pick_readers.ts";
import { runLoad } from "../load.ts";
import { waitFor } from "../wait_for.ts";
import type { Bench } from "./start_bench.ts";

const WAIT_LIMIT_MS = 60_000;
/** Calls per second, unless a scenario needs more. */
export const LOAD_CALLS_PER_SECOND = 60;

/** Calls per second that bring a rollout past its first shares in seconds. */
export const ROLLOUT_CALLS_PER_SECOND = 200;

/** Sends calls through the third node until `run` has ended. */
export async function withLoad(
  bench: Bench,
  run: () => Promise<void>,
  rate = LOAD_CALLS_PER_SECOND,
) {
  const stopped = new AbortController();
  const load = runLoad({
    // The third node has no upstream of its own, so calls to the old and to
    // the new version take the same path.
    nodes: bench.fleet.nodes.slice(2, 3).map((node) => node.call),
    customer: "baker",
    method: "GET",
    path: "/portaal/read/a",
    rate,
    signal: stopped.signal,
    durationMs: WAIT_LIMIT_MS,
  });
  try {
    await run();
  } finally {
    stopped.abort();
    await load;
  }
}

/** Waits until a new version receives at least `perMille` of the calls. */
export async function waitForShare(bench: Bench, perMille: number) {
  await waitFor({
    what: `the share is ${perMille}`,
    limitMs: WAIT_LIMIT_MS,
    isTrue: async () =>
      (await bench.rollouts(0)).some((row) => row.perMille >= perMille),
  });
}

/** Waits until a rollout is done or rolled back. */
export async function waitForRolloutEnd(bench: Bench) {
  await waitFor({
    what: "the rollout ends",
    limitMs: WAIT_LIMIT_MS,
    isTrue: async () =>
      (await bench.rollouts(0)).some((row) =>
        row.phase === "done" || row.phase === "rolled-back"
      ),
  });
}

/** Kills several nodes at the same time. */
export async function killNodes(bench: Bench, nodes: readonly number[]) {
  await Promise.all(nodes.map((node) => {
    const killed = bench.fleet.nodes[node];
    return killed === undefined ? undefined : bench.fleet.kill(killed);
  }));
}

/** Restarts a node that was killed. */
export function restartNode(bench: Bench, node: number) {
  const killed = bench.fleet.nodes[node];
  if (killed !== undefined) bench.fleet.start(killed);
}

/**
 * Restarts nodes, waits for convergence, and 5 s more until every node lists
 * them as members.
 */
export async function restartNodes(bench: Bench, nodes: readonly number[]) {
  for (const node of nodes) restartNode(bench, node);
  await bench.waitForConvergence();
  await sleep(5_000);
}

/**
 * Publishes v2 and stops the holder of the rollout's lease for 12 s, so that
 * the lease expires and another node leads the rollout.
 */
export async function pauseLeaseHolder(bench: Bench) {
  await bench.publish(0, "v2");
  let holder: string | undefined;
  await waitFor({
    what: "a node holds the lease of the rollout",
    limitMs: WAIT_LIMIT_MS,
    isTrue: async () => (holder = await bench.leaseHolder()) !== undefined,
  });
  const paused = bench.fleet.nodes.find((node) => node.peer === holder);
  paused?.process.signal("SIGSTOP");
  await sleep(12_000);
  paused?.process.signal("SIGCONT");
  await sleep(6_000);
}

/**
 * Publishes through a node that does not read the log, while the domain's
 * readers are stopped for 2.6 s and can't forward the record of the edit.
 */
export async function publishWithPausedReaders(bench: Bench) {
  const { nodes } = bench.fleet;
  const peers = nodes.map(({ peer }) => peer);
  const readers = pickReaders(peers, nodes[0]?.domain ?? "");
  const writer = peers.findIndex((peer) => !readers.includes(peer));
  const changes = await bench.plan(writer, "v1", 2);
  const paused = nodes.filter(({ peer }) => readers.includes(peer));
  for (const one of paused) one.process.signal("SIGSTOP");
  const edit = bench.send(writer, changes);
  await sleep(2_600);
  for (const one of paused) one.process.signal("SIGCONT");
  await edit;
}
