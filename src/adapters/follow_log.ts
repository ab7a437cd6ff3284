/**
 * Follows a stream of the log by long polls.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";
import {
  type LogClient,
  type LogPage,
  OFFSET_GONE_CODE,
} from "./log_client.ts";

/** Options of `followLog`. */
export interface FollowLogOptions {
  readonly log: LogClient;
  readonly stream: string;
  /** Returns the next offset to read. Called before each poll. */
  readonly next: () => Offset;
  /** Handles a page. The next poll waits until the promise resolves. */
  readonly onPage: (page: LogPage) => Promise<void>;
  /**
   * Called when the record at `next` is past retention. The next poll waits
   * until the promise resolves.
   */
  readonly onGone: () => Promise<void>;
  readonly onError: (err: LagoonError, failures: number) => void;
}

/** A follower that is polling. */
export interface LogFollower {
  close(): void;
}

/** Maximum time that the log holds a poll without new records. */
const POLL_WAIT_MS = 10_000;
const MIN_BACKOFF_MS = 50;
const MAX_BACKOFF_MS = 2_000;

/** Starts polling. After `close`, the result of the current poll is dropped. */
export function followLog(opts: FollowLogOptions): LogFollower {
  const stopped = new AbortController();
  run(opts, stopped.signal);
  return { close: () => stopped.abort() };
}

async function run(opts: FollowLogOptions, signal: AbortSignal) {
  let failures = 0;
  while (!signal.aborted) {
    const from = opts.next();
    const page = await opts.log.read({
      stream: opts.stream,
      from,
      waitMs: POLL_WAIT_MS,
    });
    if (signal.aborted) return;
    if (page.isOk()) {
      failures = 0;
      await opts.onPage(page.value);
      continue;
    }
    failures++;
    opts.onError(page.error, failures);
    if (page.error.code === OFFSET_GONE_CODE) await opts.onGone();
    await backOff(failures, signal);
  }
}

/** Waits with exponential backoff and jitter, to spread the readers' polls. */
async function backOff(failures: number, signal: AbortSignal) {
  const ceiling = Math.min(MAX_BACKOFF_MS, MIN_BACKOFF_MS * 2 ** failures);
  const ms = MIN_BACKOFF_MS + Math.random() * (ceiling - MIN_BACKOFF_MS);
  await sleep(ms, undefined, { signal }).catch(() => {});
}
