/**
 * Rollouts of good and bad versions, and of a holder that pauses.
 * @module
 */
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import type { UpstreamFaults } from "../fake_upstream.ts";
import {
  ended,
  loadRate,
  movingRate,
  pauseHolder,
  reachShare,
  withLoad,
} from "./act_on_bench.ts";
import { lists, moving, type Scenario, two } from "./scenario.ts";

const badOutcomes = [
  ...lists,
  Outcome.FirstShareSmall,
  Outcome.RolloutTakenBack,
  Outcome.WithdrawnStaysBack,
];

export const rolloutScenarios: readonly Scenario[] = [
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
