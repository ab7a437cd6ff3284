/**
 * What scenarios do to a fleet.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { pickReaders } from "../../src/distribution/pick_readers.ts";
import { runLoad } from "../load.ts";
import { waitFor } from "../wait_for.ts";
import type { Bench } from "./start_bench.ts";

const limitMs = 60_000;
/** Calls a second unless a scenario needs more. */
export const loadRate = 60;

/** Calls a second that take a version past its first shares in seconds. */
export const movingRate = 200;

/** Sends calls while `run` lasts. */
export async function withLoad(
  bench: Bench,
  run: () => Promise<void>,
  rate = loadRate,
) {
  const stopped = new AbortController();
  const load = runLoad({
    // A node without upstreams is as far from the old version as from the new.
    nodes: bench.fleet.nodes.slice(2, 3).map((node) => node.call),
    customer: "baker",
    method: "GET",
    path: "/portaal/read/a",
    rate,
    signal: stopped.signal,
    durationMs: limitMs,
  });
  try {
    await run();
  } finally {
    stopped.abort();
    await load;
  }
}

/** Waits until a new version has a share of the calls. */
export async function reachShare(bench: Bench, perMille: number) {
  await waitFor({
    what: `the share is ${perMille}`,
    limitMs,
    isTrue: async () =>
      (await bench.rollouts(0)).some((row) => row.perMille >= perMille),
  });
}

/** Waits until a rollout is done or taken back. */
export async function ended(bench: Bench) {
  await waitFor({
    what: "the rollout ends",
    limitMs,
    isTrue: async () =>
      (await bench.rollouts(0)).some((row) =>
        row.phase === "done" || row.phase === "rolled-back"
      ),
  });
}

/** Kills nodes at once. */
export async function killHerd(bench: Bench, nodes: readonly number[]) {
  await Promise.all(nodes.map((node) => {
    const killed = bench.fleet.nodes[node];
    return killed === undefined ? undefined : bench.fleet.kill(killed);
  }));
}

/** Starts a node that was killed. */
export function start(bench: Bench, node: number) {
  const killed = bench.fleet.nodes[node];
  if (killed !== undefined) bench.fleet.start(killed);
}

/** Brings nodes back and waits until all are known everywhere. */
export async function returnHerd(bench: Bench, nodes: readonly number[]) {
  for (const node of nodes) start(bench, node);
  await bench.settle();
  await sleep(5_000);
}

/** Pauses the holder of the rollout's lease until another leads. */
export async function pauseHolder(bench: Bench) {
  await bench.publish(0, "v2");
  let holder: string | undefined;
  await waitFor({
    what: "the rollout is led",
    limitMs,
    isTrue: async () => (holder = await bench.holder()) !== undefined,
  });
  const paused = bench.fleet.nodes.find((node) => node.peer === holder);
  paused?.process.signal("SIGSTOP");
  await sleep(12_000);
  paused?.process.signal("SIGCONT");
  await sleep(6_000);
}

/** Publishes through a node while the readers are paused for a moment. */
export async function publishUnheard(bench: Bench) {
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
