/**
 * Faults that traces are recorded of, with the outcomes stated for each.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { pickReaders } from "../../src/distribution/pick_readers.ts";
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import type { UpstreamFaults } from "../fake_upstream.ts";
import { runLoad } from "../load.ts";
import { waitFor } from "../wait_for.ts";
import type { Bench, StartBenchOptions } from "./start_bench.ts";

const limitMs = 60_000;
const loadRate = 60;

/** Enough for a new version to pass its first shares in seconds. */
const movingRate = 200;

export interface Scenario {
  readonly name: string;
  readonly fleet: StartBenchOptions;
  readonly outcomes: readonly Outcome[];
  /** Runs after the first lists are in force. */
  readonly run: (bench: Bench) => Promise<void>;
}

const lists = [
  Outcome.VersionNeverFalls,
  Outcome.AcceptedEditInForce,
  Outcome.DigestAgrees,
];
const badOutcomes = [
  ...lists,
  Outcome.FirstShareSmall,
  Outcome.RolloutTakenBack,
  Outcome.WithdrawnStaysBack,
];
const one = { domains: ["nl-west-a"], nodes: 3, versions: ["v1"] };
const two = { ...one, domains: ["nl-west-a", "nl-west-b"], nodes: 4 };
const moving = { ...one, versions: ["v1", "v2"] };

export const scenarios: readonly Scenario[] = [
  {
    name: "herd-death",
    fleet: { ...one, nodes: 5 },
    outcomes: [...lists, Outcome.MembersKnownAgain],
    async run(bench) {
      await killHerd(bench, [2, 3, 4]);
      await bench.publish(0, "v1", 3);
      await returnHerd(bench, [2, 3, 4]);
    },
  },
  {
    name: "log-outage",
    fleet: one,
    outcomes: [...lists, Outcome.AppendSettledOnce, Outcome.LogFailureSeen],
    async run(bench) {
      await bench.fleet.setLogFaults({ isOut: true });
      const edit = bench.publish(1, "v1", 2);
      await sleep(3_000);
      await bench.fleet.setLogFaults({ isOut: false });
      await edit;
      await bench.settle();
    },
  },
  {
    name: "slow-log",
    fleet: one,
    outcomes: [...lists, Outcome.AppendSettledOnce],
    async run(bench) {
      await bench.fleet.setLogFaults({ delayMs: 1_500 });
      await bench.publish(1, "v1", 2);
      await bench.settle();
      await bench.fleet.setLogFaults({ delayMs: 0 });
    },
  },
  {
    name: "lost-replies",
    fleet: one,
    outcomes: [
      ...lists,
      Outcome.RepeatChangesNothing,
      Outcome.AppendSettledOnce,
      Outcome.LogFailureSeen,
    ],
    async run(bench) {
      await bench.fleet.setLogFaults({ losesReplies: true });
      // The third node stops reading at the tick after it met the others.
      await sleep(2_500);
      await publishUnheard(bench);
      await bench.fleet.setLogFaults({ losesReplies: false });
      await bench.settle();
    },
  },
  {
    name: "crossed-updates",
    fleet: two,
    outcomes: lists,
    async run(bench) {
      for (const plans of [2, 1, 3]) {
        await Promise.all(
          [0, 1, 2, 3].map((node) => bench.publish(node, "v1", plans + node)),
        );
      }
      await bench.settle();
    },
  },
  {
    name: "racing-operators",
    fleet: one,
    outcomes: [...lists, Outcome.RefusedEditChangesNothing],
    async run(bench) {
      const changes = await bench.plan(0, "v2");
      await Promise.all([0, 1, 2].map((node) => bench.send(node, changes)));
      await bench.settle();
    },
  },
  {
    name: "cut-off-domain",
    fleet: two,
    outcomes: lists,
    async run(bench) {
      bench.fleet.cutOff(["nl-west-b"]);
      await bench.publish(0, "v1", 2);
      await sleep(4_000);
      bench.fleet.cutOff([]);
      await bench.settle();
    },
  },
  {
    name: "herd-death-in-outage",
    fleet: { ...one, nodes: 5 },
    outcomes: [...lists, Outcome.MembersKnownAgain],
    async run(bench) {
      await bench.fleet.setLogFaults({ isOut: true });
      await killHerd(bench, [1, 2, 3]);
      for (const node of [1, 2, 3]) start(bench, node);
      await sleep(2_000);
      await bench.fleet.setLogFaults({ isOut: false });
      await bench.settle();
      await bench.publish(0, "v1", 2);
      await bench.settle();
      await sleep(5_000);
    },
  },
  ...[
    badVersion("bad-at-once", { errorShare: 0.6 }, 20),
    badVersion("bad-slow", { delayMs: 150 }, 20),
    badVersion("bad-later", { errorShare: 0.6 }, 100),
    badVersion("bad-on-one-route", { errorShare: 0.8, path: "/read/a" }, 20),
    badVersion("bad-hangs", { hangShare: 0.5 }, 20),
  ],
  {
    name: "bad-under-load",
    fleet: moving,
    outcomes: badOutcomes,
    run: (bench) =>
      withLoad(bench, async () => {
        await bench.publish(0, "v2");
        await reachShare(bench, 20);
        Object.assign(bench.upstreams[1]?.faults ?? {}, { delayMs: 150 });
        await withLoad(bench, () => ended(bench), movingRate);
        await bench.settle();
      }),
  },
  {
    name: "good-version",
    fleet: moving,
    outcomes: [...lists, Outcome.FirstShareSmall, Outcome.RolloutDone],
    run: (bench) =>
      withLoad(bench, async () => {
        await bench.publish(0, "v2");
        await ended(bench);
      }, movingRate),
  },
  {
    name: "paused-holder",
    fleet: { ...moving, domains: two.domains, nodes: 4 },
    outcomes: [
      Outcome.VersionNeverFalls,
      Outcome.DigestAgrees,
      Outcome.NoStepAfterLostLease,
    ],
    run: (bench) => withLoad(bench, () => pauseHolder(bench)),
  },
  {
    name: "crashing-request",
    fleet: { ...one, versions: ["v1", "v1", "v1"] },
    outcomes: [Outcome.CrashesAtMostTwo],
    async run(bench) {
      for (const upstream of bench.upstreams) {
        Object.assign(upstream.faults, { hangShare: 1, path: "/crash" });
      }
      for (let round = 0; round < 2; round++) {
        const sent = bench.call(round, "/crash");
        const running = () =>
          bench.upstreams.find((up) => up.totals.running > 0);
        await waitFor({
          what: "the request hangs at an upstream",
          limitMs,
          isTrue: () => running() !== undefined,
        });
        await running()?.close();
        await sent;
      }
      await bench.call(0, "/crash");
    },
  },
  {
    name: "keyed-calls",
    fleet: { ...one, versions: ["v1", "v1"] },
    outcomes: [Outcome.AtMostOneRunPerKey, Outcome.NotRunNeverRuns],
    async run(bench) {
      await waitFor({
        what: "a keyed call runs",
        limitMs,
        isTrue: async () =>
          (await bench.call(0, "/pay", "ready")).status === 200,
      });
      for (const key of ["a", "b", "c", "d", "e"]) {
        await Promise.all([0, 1, 2, 0].map((n) => bench.call(n, "/pay", key)));
      }
      await bench.fleet.setLogFaults({ isOut: true });
      await bench.call(0, "/pay", "f");
      await bench.fleet.setLogFaults({ isOut: false });
      await bench.call(1, "/pay", "f");
    },
  },
  {
    name: "leaving-upstream",
    fleet: one,
    outcomes: [
      Outcome.DrainingGetsNoNewWork,
      Outcome.NoRouteToAbsentService,
      Outcome.VersionNeverFalls,
    ],
    run: (bench) =>
      withLoad(bench, async () => {
        await sleep(1_000);
        await bench.upstreams[0]?.drain();
        await sleep(2_500);
      }),
  },
  {
    name: "planned-stop",
    fleet: { ...one, versions: ["v1", "v1"] },
    outcomes: [Outcome.StartedCallsEnd, Outcome.VersionNeverFalls],
    run: (bench) =>
      withLoad(bench, async () => {
        await sleep(1_000);
        await bench.fleet.nodes[1]?.process.stop();
      }),
  },
];

/** A version whose faults begin at a share, and that is taken back. */
function badVersion(
  name: string,
  faults: Partial<UpstreamFaults>,
  fromPerMille: number,
): Scenario {
  return {
    name,
    fleet: moving,
    outcomes: badOutcomes,
    run: (bench) =>
      withLoad(bench, async () => {
        await bench.publish(0, "v2");
        await reachShare(bench, fromPerMille);
        Object.assign(bench.upstreams[1]?.faults ?? {}, faults);
        await ended(bench);
        await bench.settle();
      }, fromPerMille > 20 ? movingRate : loadRate),
  };
}

async function withLoad(
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

async function reachShare(bench: Bench, perMille: number) {
  await waitFor({
    what: `the share is ${perMille}`,
    limitMs,
    isTrue: async () =>
      (await bench.rollouts(0)).some((row) => row.perMille >= perMille),
  });
}

async function ended(bench: Bench) {
  await waitFor({
    what: "the rollout ends",
    limitMs,
    isTrue: async () =>
      (await bench.rollouts(0)).some((row) =>
        row.phase === "done" || row.phase === "rolled-back"
      ),
  });
}

async function killHerd(bench: Bench, nodes: readonly number[]) {
  await Promise.all(nodes.map((node) => {
    const killed = bench.fleet.nodes[node];
    return killed === undefined ? undefined : bench.fleet.kill(killed);
  }));
}

function start(bench: Bench, node: number) {
  const killed = bench.fleet.nodes[node];
  if (killed !== undefined) bench.fleet.start(killed);
}

/** Brings nodes back and waits until all are known everywhere. */
async function returnHerd(bench: Bench, nodes: readonly number[]) {
  for (const node of nodes) start(bench, node);
  await bench.settle();
  await sleep(5_000);
}

/** Pauses the holder of the rollout's lease until another leads. */
async function pauseHolder(bench: Bench) {
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
async function publishUnheard(bench: Bench) {
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
