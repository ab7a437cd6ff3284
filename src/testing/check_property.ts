/**
 * Runs properties with a fixed seed, or with a fresh one when exploring.
 * @module
 */
import process from "node:process";
import fc from "fast-check";

/** Seed of every property in CI. */
export const FIXED_SEED = 20_261_204;

/** Options of `checkProperty`. */
export interface CheckPropertyOptions {
  /** Runs in CI. `npm run explore -- --runs` goes before it. */
  readonly runs: number;
}

/** Checks a synchronous property. A failure names its seed and path. */
export function checkProperty<Ts>(
  property: fc.IRawProperty<Ts>,
  opts: CheckPropertyOptions,
) {
  const { env } = process;
  fc.assert(property as fc.IProperty<Ts>, {
    seed: Number(env.LAGOON_TEST_SEED ?? FIXED_SEED),
    numRuns: Number(env.LAGOON_TEST_RUNS ?? opts.runs),
    ...(env.LAGOON_TEST_PATH === undefined
      ? {}
      : { path: env.LAGOON_TEST_PATH }),
  });
}
