/**
 * Two ways of spreading compared, control traffic at full size, and the time
 * until a change is in force on real processes.
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
  measureReaders,
  measureRepair,
  measureStorm,
  startMesh,
} from "./measure_mesh.ts";

const members = 310;
const domains = 20;

/** Runs the experiment. Takes less than a minute. */
export async function runSpreading(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const generator = xoroshiro128plus(opts.seed);
  const random = () => uniformFloat64(generator);
  const { onProgress } = opts;
  const ids = Array.from(
    { length: members },
    (_, index) => addressOf(0, index),
  );
  onProgress("Starting real processes.");
  const measured = await measureConvergence(onProgress);
  onProgress("Spreading a record both ways.");
  const record = { offset: 1, body: "x".repeat(600) };
  const compared = compareSpreading({ ids, record, random, deadShare: 0.05 });
  const one = startMesh(random, 1, members);
  const oneDomain = measureFleet(one, "310 in one domain", {
    settle: 15,
    rest: 10,
  });
  onProgress("Half of a domain dies and returns.");
  const storm = measureStorm(random, members);
  const repair = measureRepair(random, members);
  const readers = measureReaders(random);
  onProgress("Starting 620 nodes in 20 domains.");
  const all = startMesh(random, domains, members / 10);
  const fleet = measureFleet(all, "620 in 20 domains", {
    settle: 7,
    rest: 5,
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
