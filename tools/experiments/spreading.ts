/**
 * Experiment `spreading`: compares two ways to broadcast a record, measures
 * control traffic in a simulated mesh, and the time until real processes have
 * applied a change.
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";
import { compareSpreading } from "./compare_spreading.ts";
import type { ExperimentOptions, Figure } from "./figure.ts";
import { measureConvergence } from "./measure_convergence.ts";
import {
  addressOf,
  measureFleet,
  measureMassFailure,
  measureReaders,
  measureRepair,
  startMesh,
} from "./measure_mesh.ts";

const MEMBERS_PER_DOMAIN = 310;
const DOMAIN_COUNT = 20;

/** Runs the experiment, which takes less than a minute. */
export async function runSpreading(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const generator = xoroshiro128plus(opts.seed);
  const random = () => uniformFloat64(generator);
  const { onProgress } = opts;
  const ids = Array.from(
    { length: MEMBERS_PER_DOMAIN },
    (_, index) => addressOf(0, index),
  );
  onProgress("Starting real processes.");
  const measured = await measureConvergence(onProgress);
  onProgress("Broadcasting a record both ways.");
  const record = { offset: 1, body: "x".repeat(600) };
  const compared = compareSpreading({ ids, record, random, deadShare: 0.05 });
  const one = startMesh(random, 1, MEMBERS_PER_DOMAIN);
  const oneDomain = measureFleet(one, "310 in one domain", {
    settle: 15,
    idle: 10,
  });
  onProgress("Killing and restarting half of a failure domain.");
  const storm = measureMassFailure(random, MEMBERS_PER_DOMAIN);
  const repair = measureRepair(random, MEMBERS_PER_DOMAIN);
  const readers = measureReaders(random);
  onProgress("Starting 620 simulated nodes in 20 failure domains.");
  const all = startMesh(random, DOMAIN_COUNT, MEMBERS_PER_DOMAIN / 10);
  const fleet = measureFleet(all, "620 in 20 domains", {
    settle: 7,
    idle: 5,
  });
  return [
    ...compared,
    ...oneDomain,
    ...storm,
    ...repair,
    ...readers,
    ...fleet,
    ...measured,
  ];
}
