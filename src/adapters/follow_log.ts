/**
 * Follows a stream of the log by long polls.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { LagoonError } from "../core/errors.ts";
import type { Offset } from "../core/types.ts";
import { type LogClient, type LogPage, offsetGoneCode } from "./log_client.ts";

/** Options of `followLog`. */
export interface FollowLogOptions {
  readonly log: LogClient;
  readonly stream: string;
  /** Next offset wanted. Asked before each poll. */
  readonly next: () => Offset;
  /** Takes a page before the next poll. */
  readonly onPage: (page: LogPage) => Promise<void>;
  /** The offset wanted is past retention. Resolves when it has moved. */
  readonly onGone: () => Promise<void>;
  readonly onError: (err: LagoonError, failures: number) => void;
}

/** A running follower. */
export interface LogFollower {
  close(): void;
}

const pollMs = 10_000;
const minBackoffMs = 50;
const maxBackoffMs = 2_000;

/** Starts following. `close` stops after the poll in progress. */
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
      waitMs: pollMs,
    });
    if (signal.aborted) return;
    if (page.isOk()) {
      failures = 0;
      await opts.onPage(page.value);
      continue;
    }
    failures++;
    opts.onError(page.error, failures);
    if (page.error.code === offsetGoneCode) await opts.onGone();
    await pause(failures, signal);
  }
}

/** Exponential back-off with full jitter, so that readers spread out. */
async function pause(failures: number, signal: AbortSignal) {
  const ceiling = Math.min(maxBackoffMs, minBackoffMs * 2 ** failures);
  const ms = minBackoffMs + Math.random() * (ceiling - minBackoffMs);
  await sleep(ms, undefined, { signal }).catch(() => {});
}
