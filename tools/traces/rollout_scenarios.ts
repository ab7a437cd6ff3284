/**
 * Scenarios of rollouts: good and faulty versions, and a lease holder that is
 * paused.
 * @module
 */
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import type { UpstreamFaults } from "../fake_upstream.ts";
import {
  LOAD_CALLS_PER_SECOND,
  pauseLeaseHolder,
  ROLLOUT_CALLS_PER_SECOND,
  waitForRolloutEnd,
  waitForShare,
  withLoad,
} from "./bench_actions.ts";
import {
  LIST_OUTCOMES,
  type Scenario,
  TWO_DOMAINS,
  TWO_VERSIONS,
} from "./scenario.ts";

const ROLLED_BACK_OUTCOMES = [
  ...LIST_OUTCOMES,
  Outcome.FirstShareSmall,
  Outcome.RolloutTakenBack,
  Outcome.WithdrawnStaysBack,
];

export const ROLLOUT_SCENARIOS: readonly Scenario[] = [
  ...[
    createBadVersion("bad-at-once", { errorShare: 0.6 }, 20),
    createBadVersion("bad-slow", { delayMs: 150 }, 20),
    createBadVersion("bad-later", { errorShare: 0.6 }, 100),
    createBadVersion(
      "bad-on-one-route",
      { errorShare: 0.8, path: "/read/a" },
      20,
    ),
    createBadVersion("bad-hangs", { hangShare: 0.5 }, 20),
  ],
  {
    name: "bad-under-load",
    fleet: TWO_VERSIONS,
    outcomes: ROLLED_BACK_OUTCOMES,
    run: (bench) =>
      withLoad(bench, async () => {
        await bench.publish(0, "v2");
        await waitForShare(bench, 20);
        Object.assign(bench.upstreams[1]?.faults ?? {}, { delayMs: 150 });
        await withLoad(bench, () =>
          waitForRolloutEnd(bench), ROLLOUT_CALLS_PER_SECOND);
        await bench.waitForConvergence();
      }),
  },
  {
    name: "good-version",
    fleet: TWO_VERSIONS,
    outcomes: [...LIST_OUTCOMES, Outcome.FirstShareSmall, Outcome.RolloutDone],
    run: (bench) =>
      withLoad(bench, async () => {
        await bench.publish(0, "v2");
        await waitForRolloutEnd(bench);
      }, ROLLOUT_CALLS_PER_SECOND),
  },
  {
    name: "paused-holder",
    fleet: { ...TWO_VERSIONS, domains: TWO_DOMAINS.domains, nodes: 4 },
    outcomes: [
      Outcome.VersionNeverFalls,
      Outcome.DigestAgrees,
      Outcome.NoStepAfterLostLease,
    ],
    run: (bench) => withLoad(bench, () => pauseLeaseHolder(bench)),
  },
];

/**
 * Creates a scenario in which the new version fails once its share of the
 * calls has reached `fromPerMille`, and is rolled back.
 */
function createBadVersion(
  name: string,
  faults: Partial<UpstreamFaults>,
  fromPerMille: number,
): Scenario {
  return {
    name,
    fleet: TWO_VERSIONS,
    outcomes: ROLLED_BACK_OUTCOMES,
    run: (bench) =>
      withLoad(bench, async () => {
        await bench.publish(0, "v2");
        await waitForShare(bench, fromPerMille);
        Object.assign(bench.upstreams[1]?.faults ?? {}, faults);
        await waitForRolloutEnd(bench);
        await bench.waitForConvergence();
      }, fromPerMille > 20 ? ROLLOUT_CALLS_PER_SECOND : LOAD_CALLS_PER_SECOND),
  };
}
