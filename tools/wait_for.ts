/**
 * Waits on a condition instead of a time.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

const pollMs = 20;

/** Options of `waitFor`. */
export interface WaitForOptions {
  /** Told in the error when the condition never comes. */
  readonly what: string;
  readonly isTrue: () => boolean | Promise<boolean>;
  /** Gives up after this many milliseconds. */
  readonly limitMs: number;
}

/** Resolves when the condition holds, rejects when it never does. */
export async function waitFor(opts: WaitForOptions): Promise<void> {
  const giveUpAt = performance.now() + opts.limitMs;
  while (!await opts.isTrue()) {
    if (performance.now() > giveUpAt) {
      throw new Error(`gave up waiting until ${opts.what}`);
    }
    await sleep(pollMs);
  }
}
