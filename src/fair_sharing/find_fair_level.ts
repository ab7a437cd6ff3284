/**
 * Finds how much each account may use when not all get what they request.
 * @module
 */

/**
 * Fraction of the requested slot time below which it counts as short. Calls that
 * wait are requested but not started yet.
 */
const SHORT_SHARE = 0.95;

/** Halvings of the searched interval. The level is exact to 0.1% of it. */
const HALVINGS = 10;

/**
 * Returns the level up to which the requests of all accounts together use
 * `capacity` (max-min fairness), or infinity if they get what they request.
 */
export function findFairLevel(
  demands: readonly number[],
  capacity: number,
): number {
  let total = 0;
  let high = 0;
  for (const demand of demands) {
    total += demand;
    high = Math.max(high, demand);
  }
  if (capacity >= total * SHORT_SHARE) return Infinity;
  let low = 0;
  for (let n = 0; n < HALVINGS; n++) {
    const level = (low + high) / 2;
    let sum = 0;
    for (const demand of demands) sum += Math.min(demand, level);
    if (sum < capacity) low = level;
    else high = level;
  }
  return high;
}
