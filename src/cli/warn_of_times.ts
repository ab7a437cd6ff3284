/**
 * Warns of take-over times that are probably mistakes.
 * @module
 */
import type { EntryChange } from "../config_log/messages.ts";
import { ListName } from "../lists/types.ts";

const maxAheadMs = 366 * 24 * 3_600_000;

/**
 * Returns a sentence for each such time. They are accepted all the same: the
 * log's content has no clock to refuse them by, and this one may be wrong.
 */
export function warnOfTimes(
  changes: readonly EntryChange[],
  wall: number,
): string[] {
  return changes.flatMap((change) => {
    if (change.list !== ListName.Uses) return [];
    const time = change.value?.takeOverBy;
    if (time === undefined) return [];
    const aheadMs = Date.parse(time) - wall;
    const name = `Warning: entry uses/${change.key}: takeOverBy ${time}`;
    if (aheadMs <= 0) {
      return [`${name} has passed: the version moves as fast as is safe.`];
    }
    return aheadMs > maxAheadMs ? [`${name} is more than a year ahead.`] : [];
  });
}
