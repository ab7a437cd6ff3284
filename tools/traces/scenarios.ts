/**
 * All scenarios that traces are recorded from: a fault or a load on a small
 * fleet, with the outcomes that the trace must show.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import { waitFor } from "../wait_for.ts";
import {
  killNodes,
  publishWithPausedReaders,
  restartNode,
  restartNodes,
  withLoad,
} from "./bench_actions.ts";
import { ROLLOUT_SCENARIOS } from "./rollout_scenarios.ts";
import {
  LIST_OUTCOMES,
  type Scenario,
  SINGLE_DOMAIN,
  TWO_DOMAINS,
} from "./scenario.ts";

const WAIT_LIMIT_MS = 60_000;

export const SCENARIOS: readonly Scenario[] = [
  {
    name: "herd-death",
    fleet: { ...SINGLE_DOMAIN, nodes: 5 },
    outcomes: [...LIST_OUTCOMES, Outcome.MembersKnownAgain],
    async run(bench) {
      await killNodes(bench, [2, 3, 4]);
      await bench.publish(0, "v1", 3);
      await restartNodes(bench, [2, 3, 4]);
    },
  },
  {
    name: "log-outage",
    fleet: SINGLE_DOMAIN,
    outcomes: [
      ...LIST_OUTCOMES,
      Outcome.AppendSettledOnce,
      Outcome.LogFailureSeen,
    ],
    async run(bench) {
      await bench.fleet.setLogFaults({ isOut: true });
      const edit = bench.publish(1, "v1", 2);
      await sleep(3_000);
      await bench.fleet.setLogFaults({ isOut: false });
      await edit;
      await bench.waitForConvergence();
    },
  },
  {
    name: "slow-log",
    fleet: SINGLE_DOMAIN,
    outcomes: [...LIST_OUTCOMES, Outcome.AppendSettledOnce],
    async run(bench) {
      await bench.fleet.setLogFaults({ delayMs: 1_500 });
      await bench.publish(1, "v1", 2);
      await bench.waitForConvergence();
      await bench.fleet.setLogFaults({ delayMs: 0 });
    },
  },
  {
    name: "lost-replies",
    fleet: SINGLE_DOMAIN,
    outcomes: [
      ...LIST_OUTCOMES,
      Outcome.RepeatChangesNothing,
      Outcome.AppendSettledOnce,
      Outcome.LogFailureSeen,
    ],
    async run(bench) {
      await bench.fleet.setLogFaults({ losesReplies: true });
      // The third node stops reading the log at the tick after it met the
      // others. `publishWithPausedReaders` needs a node that does not read.
      await sleep(2_500);
      await publishWithPausedReaders(bench);
      await bench.fleet.setLogFaults({ losesReplies: false });
      await bench.waitForConvergence();
    },
  },
  {
    name: "crossed-updates",
    fleet: TWO_DOMAINS,
    outcomes: LIST_OUTCOMES,
    async run(bench) {
      for (const plans of [2, 1, 3]) {
        await Promise.all(
          [0, 1, 2, 3].map((node) => bench.publish(node, "v1", plans + node)),
        );
      }
      await bench.waitForConvergence();
    },
  },
  {
    name: "racing-operators",
    fleet: SINGLE_DOMAIN,
    outcomes: [...LIST_OUTCOMES, Outcome.RefusedEditChangesNothing],
    async run(bench) {
      const changes = await bench.plan(0, "v2");
      await Promise.all([0, 1, 2].map((node) => bench.send(node, changes)));
      await bench.waitForConvergence();
    },
  },
  {
    name: "cut-off-domain",
    fleet: TWO_DOMAINS,
    outcomes: LIST_OUTCOMES,
    async run(bench) {
      bench.fleet.cutOff(["nl-west-b"]);
      await bench.publish(0, "v1", 2);
      await sleep(4_000);
      bench.fleet.cutOff([]);
      await bench.waitForConvergence();
    },
  },
  {
    name: "herd-death-in-outage",
    fleet: { ...SINGLE_DOMAIN, nodes: 5 },
    outcomes: [...LIST_OUTCOMES, Outcome.MembersKnownAgain],
    async run(bench) {
      await bench.fleet.setLogFaults({ isOut: true });
      await killNodes(bench, [1, 2, 3]);
      for (const node of [1, 2, 3]) restartNode(bench, node);
      await sleep(2_000);
      await bench.fleet.setLogFaults({ isOut: false });
      await bench.waitForConvergence();
      await bench.publish(0, "v1", 2);
      await bench.waitForConvergence();
      await sleep(5_000);
    },
  },
  ...ROLLOUT_SCENARIOS,
  {
    name: "crashing-request",
    fleet: { ...SINGLE_DOMAIN, versions: ["v1", "v1", "v1"] },
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
          limitMs: WAIT_LIMIT_MS,
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
    fleet: { ...SINGLE_DOMAIN, versions: ["v1", "v1"] },
    outcomes: [Outcome.AtMostOneRunPerKey, Outcome.NotRunNeverRuns],
    async run(bench) {
      await waitFor({
        what: "a keyed call runs",
        limitMs: WAIT_LIMIT_MS,
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
    fleet: SINGLE_DOMAIN,
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
    fleet: { ...SINGLE_DOMAIN, versions: ["v1", "v1"] },
    outcomes: [Outcome.StartedCallsEnd, Outcome.VersionNeverFalls],
    run: (bench) =>
      withLoad(bench, async () => {
        await sleep(1_000);
        await bench.fleet.nodes[1]?.process.stop();
      }),
  },
];
