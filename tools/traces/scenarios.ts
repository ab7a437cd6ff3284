/**
 * Faults that traces are recorded of, with the outcomes stated for each.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import { waitFor } from "../wait_for.ts";
import {
  killHerd,
  publishUnheard,
  returnHerd,
  start,
  withLoad,
} from "./act_on_bench.ts";
import { rolloutScenarios } from "./rollout_scenarios.ts";
import { lists, one, type Scenario, two } from "./scenario.ts";

const limitMs = 60_000;

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
  ...rolloutScenarios,
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
