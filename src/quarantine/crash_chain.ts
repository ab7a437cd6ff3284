/**
 * Counts the crashes that followed each other for one request, where suspected
 * requests do not run in isolation.
 *
 * A crash ends all runs at its endpoint, and several endpoints may end at the
 * same moment. So crashes count one after the other only if the later run began
 * when the earlier crash was known: its id starts with its number in the chain.
 * @module
 */
import type { SuspectRow } from "./messages.ts";

/** Length of the chain from which a request is refused. */
export const CRASHES_TO_REFUSE = 3;

/** Retry delay for a request that is refused, in milliseconds. */
export const QUARANTINE_RETRY_MS = 60_000;

const CRASH_ID_PATTERN = /^(\d{1,4}):/;

/** Options of `crashIdOf`. */
export interface CrashIdOptions {
  /** Length of the chain with this crash. */
  readonly crashes: number;
  /** Unique per process start. */
  readonly boot: string;
  /** Unique within the process. */
  readonly number: number;
}

export function crashIdOf(opts: CrashIdOptions): string {
  return `${opts.crashes}:${opts.boot}/${opts.number}`;
}

/**
 * Returns the length of the longest chain of crashes that no complete answer
 * has excused.
 */
export function countChain(row: SuspectRow): number {
  const excused = new Set(row.excused);
  const counts = row.crashes
    .filter((id) => !excused.has(id))
    .map((id) => Number(CRASH_ID_PATTERN.exec(id)?.[1] ?? 1));
  return Math.max(0, ...counts);
}
