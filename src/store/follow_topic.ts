/**
 * Follows a keyed topic from its newest records on.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { Result } from "neverthrow";
import { createDeadline } from "../core/create_deadline.ts";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import type { MonotonicMs, Offset } from "../core/types.ts";
import type {
  KeyedRecord,
  KeyedStore,
  RecordPage,
  StoreError,
} from "./state.ts";

/**
 * Longest wait of one read, in milliseconds. A store that falls silent shows
 * only at its end, and a change may be hidden until then.
 */
export const READ_WAIT_MS = 500;

/**
 * Time besides that wait in which an answer comes, in milliseconds: some times
 * what the store took last, within bounds.
 */
export const ANSWER_BOUNDS_MS = { shortestMs: 600, longestMs: 2_000 };
const answerFactor = 4;

/** Time that the store is taken to need before it has answered. */
const firstAnswerMs = 250;

/**
 * Pause after a read that brought records, in milliseconds. A storm of changes
 * is read in a few pages, well inside the seconds that a change may take.
 */
const pauseMs = 400;

/** Pauses after failed reads, in milliseconds. */
const failureBounds = { firstMs: 150, longestMs: 1_000 };

/** Options of `followTopic`. */
export interface FollowTopicOptions {
  readonly store: KeyedStore;
  readonly topic: string;
  /** Where reading goes on. Negative: with the newest record of each key. */
  readonly from: () => Offset;
  /** Takes records in order. `end` is the offset after the last of them. */
  readonly onRecords: (records: readonly KeyedRecord[], end: Offset) => void;
  /** Called when the store is lost or regained. */
  readonly onHealth: (err: StoreError | undefined) => void;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
}

export interface TopicFollower {
  /** Reads on. It begins at rest. */
  read(): void;
  /** Ends reading after the read that waits. */
  rest(): void;
  /** Ends a read that waits, and reads again on a new connection. */
  reconnect(): void;
  close(): void;
}

/** Creates a follower that goes on until it is closed. */
export function followTopic(opts: FollowTopicOptions): TopicFollower {
  const closing = new AbortController();
  let reading = new AbortController();
  let isOn = false;
  let wake = () => {};
  let failures = 1;
  /** What was told last. Unknown after a rest. */
  let isHealthy: boolean | undefined;
  let isDropped = false;
  /** Time that the store took for the last answer which it gave at once. */
  let tookMs = firstAnswerMs;

  async function run() {
    while (!closing.signal.aborted) {
      if (!isOn) await new Promise<void>((resolve) => wake = resolve);
      else await readOnce();
    }
  }

  async function readOnce() {
    reading = new AbortController();
    const from = isDropped ? -1 : opts.from();
    const page = await readPage(from);
    if (closing.signal.aborted) return;
    if (page.isErr()) {
      const { fault } = page.error;
      // History that was dropped is made up for by the newest records.
      if (fault.type === "dropped") isDropped = true;
      else await backOff(page.error);
      return;
    }
    failures = 0;
    if (isHealthy !== true) opts.onHealth(undefined);
    isHealthy = true;
    isDropped = false;
    const { records, next } = page.value;
    if (records.length === 0 && from >= 0) return;
    opts.onRecords(records, next);
    await pause(pauseMs);
  }

  async function readPage(
    from: Offset,
  ): Promise<Result<RecordPage, StoreError>> {
    const { store, topic } = opts;
    // A store that is back says so at once, not at the end of a long wait.
    const waitMs = failures > 0 ? 0 : READ_WAIT_MS;
    const beganAt = opts.now();
    const deadline = createDeadline({
      limitMs: waitMs + answerMs(),
      step: `the read of ${topic}`,
      signals: [closing.signal, reading.signal],
    });
    const { signal } = deadline;
    try {
      const page = await (from < 0
        ? store.newest(topic, signal)
        : store.read({ topic, from, waitMs, signal }));
      if (page.isOk()) {
        noteAnswer(opts.now() - beganAt, waitMs, page.value);
      }
      return page;
    } finally {
      deadline.close();
    }
  }

  function answerMs(): number {
    const { shortestMs, longestMs } = ANSWER_BOUNDS_MS;
    // A store that has just failed may be slow.
    if (failures > 1) return longestMs;
    return Math.min(longestMs, Math.max(shortestMs, tookMs * answerFactor));
  }

  /** Records that came during the wait tell nothing of the store's speed. */
  function noteAnswer(elapsedMs: number, waitMs: number, page: RecordPage) {
    if (waitMs > 0 && page.records.length > 0) return;
    tookMs = Math.max(0, elapsedMs - waitMs);
  }

  async function backOff(err: StoreError) {
    if (reading.signal.aborted) return;
    failures++;
    if (isHealthy !== false) opts.onHealth(err);
    isHealthy = false;
    await pause(backoffWithHalfJitter(failureBounds, failures, opts.random()));
  }

  function pause(ms: number): Promise<unknown> {
    return sleep(ms, undefined, { signal: closing.signal })
      // The only rejection is the abort on close, which ends the loop.
      .catch(() => undefined);
  }

  const running = run();
  return {
    read() {
      if (isOn) return;
      isOn = true;
      failures = 1;
      isHealthy = undefined;
      wake();
    },
    rest: () => isOn = false,
    reconnect() {
      failures = 1;
      isHealthy = undefined;
      reading.abort();
    },
    close() {
      closing.abort();
      wake();
      void running;
    },
  };
}
