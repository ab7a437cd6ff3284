/**
 * Seeded random numbers for the rollout experiment.
 * @module
 */
import { uniformFloat64 } from "pure-rand/distribution/uniformFloat64";
import { xoroshiro128plus } from "pure-rand/generator/xoroshiro128plus";

/** Random numbers of several distributions, drawn from one seed. */
export interface Random {
  /** Returns a number from 0 up to 1, exclusive. */
  uniform(): number;
  poisson(mean: number): number;
  normal(): number;
  /** Returns how many of `calls` fail, each with the probability `rate`. */
  binomial(calls: number, rate: number): number;
  pick<T>(values: readonly T[]): T;
}

export function createRandom(seed: number): Random {
  const generator = xoroshiro128plus(seed);
  const uniform = () => uniformFloat64(generator);
  return {
    uniform,
    poisson(mean) {
      const limit = Math.exp(-mean);
      let count = 0;
      for (let left = uniform(); left > limit; left *= uniform()) count++;
      return count;
    },
    normal: () =>
      Math.sqrt(-2 * Math.log(1 - uniform())) *
      Math.cos(2 * Math.PI * uniform()),
    binomial(calls, rate) {
      let count = 0;
      for (let call = 0; call < calls; call++) if (uniform() < rate) count++;
      return count;
    },
    pick: (values) => values[Math.floor(uniform() * values.length)] as never,
  };
}
