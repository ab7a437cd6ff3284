/**
 * Polls until a condition holds, in place of a fixed delay.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";

const POLL_INTERVAL_MS = 20;

/** Options of `waitFor`. */
export interface WaitForOptions {
  /** The condition in words, for the error after a timeout. */
  readonly what: string;
  readonly isTrue: () => boolean | Promise<boolean>;
  /** Time after which the wait fails, in milliseconds. */
  readonly limitMs: number;
}

/** Resolves when the condition holds, rejects after `limitMs`. */
export async function waitFor(opts: WaitForOptions): Promise<void> {
  const giveUpAt = performance.now() + opts.limitMs;
  while (!await opts.isTrue()) {
    if (performance.now() > giveUpAt) {
      throw new Error(`gave up waiting until ${opts.what}`);
    }
    await sleep(POLL_INTERVAL_MS);
  }
}
