/**
 * Runs fast-check properties, by default with a fixed seed. `npm run explore`
 * sets another seed and number of runs.
 * @module
 */
import process from "node:process";
import fc from "fast-check";

/** Seed of every property in CI. */
export const FIXED_SEED = 20_261_204;

/** Options of `checkProperty`. */
export interface CheckPropertyOptions {
  /** Number of runs in CI. `npm run explore -- --runs` overrides it. */
  readonly runs: number;
}

/** Checks a synchronous property. A failure prints its seed and path. */
export function checkProperty<Ts>(
  property: fc.IRawProperty<Ts>,
  opts: CheckPropertyOptions,
) {
  fc.assert(property as fc.IProperty<Ts>, parametersOf(opts));
}

/** Checks an asynchronous property in the same way. */
export async function checkAsyncProperty<Ts>(
  property: fc.IAsyncProperty<Ts>,
  opts: CheckPropertyOptions,
) {
  await fc.assert(property, parametersOf(opts));
}

function parametersOf(opts: CheckPropertyOptions) {
  const { env } = process;
  return {
    seed: Number(env.LAGOON_TEST_SEED ?? FIXED_SEED),
    numRuns: Number(env.LAGOON_TEST_RUNS ?? opts.runs),
    ...(env.LAGOON_TEST_PATH === undefined
      ? {}
      : { path: env.LAGOON_TEST_PATH }),
  };
}
