/**
 * Warns of take-over times that are probably mistakes.
 * @module
 */
import type { EntryChange } from "../config_log/messages.ts";
import { ListName } from "../lists/types.ts";

const MAX_AHEAD_MS = 366 * 24 * 3_600_000;

/**
 * Returns a warning for each take-over time that has passed or is too far
 * ahead. The edit is sent in spite of warnings: nodes validate records without
 * a clock, and the clock of this machine may be wrong.
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
      return [
        `${name} has passed: traffic shifts to the version as fast as is safe.`,
      ];
    }
    return aheadMs > MAX_AHEAD_MS ? [`${name} is more than a year ahead.`] : [];
  });
}
