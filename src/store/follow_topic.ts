/**
 * Reads a keyed topic continuously, starting with the newest record of each
 * key.
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
 * Longest time that the store waits for records in one read. A store that stops
 * answering is detected only after this wait, and delays changes until then.
 */
export const READ_WAIT_MS = 500;

/**
 * Bounds of the time limit for an answer, which is added to the wait of a read.
 * The limit is `ANSWER_TIME_FACTOR` times what the store took for its last
 * answer.
 */
export const ANSWER_BOUNDS_MS = { shortestMs: 600, longestMs: 2_000 };

/** Factor of the time limit on the time of the last answer. */
const ANSWER_TIME_FACTOR = 4;

/** Answer time that is assumed until the store has answered. */
const INITIAL_ANSWER_MS = 250;

/**
 * Delay after a read that returned records. Many changes in a short time are
 * read in a few pages, and still applied well within the seconds that a change
 * may take.
 */
const PAGE_DELAY_MS = 400;

/** Bounds of the backoff after failed reads. */
const FAILURE_BACKOFF_MS = { firstMs: 150, longestMs: 1_000 };

/** Options of `followTopic`. */
export interface FollowTopicOptions {
  readonly store: KeyedStore;
  readonly topic: string;
  /**
   * Returns the offset of the next read. If negative, the newest record of each
   * key is read.
   */
  readonly from: () => Offset;
  /**
   * Receives records in order. `end` is the offset after the last of them.
   * `isComplete` tells that they are the newest records of all keys.
   */
  readonly onRecords: (
    records: readonly KeyedRecord[],
    end: Offset,
    isComplete: boolean,
  ) => void;
  /**
   * Called with the error when reads start to fail, and with undefined when
   * they first succeed or succeed again.
   */
  readonly onHealth: (err: StoreError | undefined) => void;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
}

export interface TopicFollower {
  /** Starts reading. A new follower does not read yet. */
  read(): void;
  /** Stops reading after the pending read. */
  stop(): void;
  /** Aborts the pending read, and reads again on a new connection. */
  reconnect(): void;
  close(): void;
}

/** Creates a follower that runs until it is closed. */
export function followTopic(opts: FollowTopicOptions): TopicFollower {
  const closeController = new AbortController();
  let readController = new AbortController();
  let isOn = false;
  let wake = () => {};
  let failures = 1;
  /** Value of the last `onHealth` call. Undefined after a stop or reconnect. */
  let isHealthy: boolean | undefined;
  let isDropped = false;
  /**
   * Time that the store took for its last answer, without the wait for records.
   */
  let tookMs = INITIAL_ANSWER_MS;

  async function run() {
    while (!closeController.signal.aborted) {
      if (!isOn) await new Promise<void>((resolve) => wake = resolve);
      else await readOnce();
    }
  }

  async function readOnce() {
    readController = new AbortController();
    const from = isDropped ? -1 : opts.from();
    const page = await readPage(from);
    if (closeController.signal.aborted) return;
    if (page.isErr()) {
      const { fault } = page.error;
      // The store no longer keeps the records from this offset on: continue
      // with the newest record of each key.
      if (fault.type === "dropped") isDropped = true;
      else await waitAfterFailure(page.error);
      return;
    }
    failures = 0;
    if (isHealthy !== true) opts.onHealth(undefined);
    isHealthy = true;
    isDropped = false;
    const { records, next } = page.value;
    if (records.length === 0 && from >= 0) return;
    opts.onRecords(records, next, from < 0);
    await delay(PAGE_DELAY_MS);
  }

  async function readPage(
    from: Offset,
  ): Promise<Result<RecordPage, StoreError>> {
    const { store, topic } = opts;
    // After a failure, the read does not wait for records, so that a store that
    // is available again is detected immediately.
    const waitMs = failures > 0 ? 0 : READ_WAIT_MS;
    const beganAt = opts.now();
    const deadline = createDeadline({
      limitMs: waitMs + answerMs(),
      step: `the read of ${topic}`,
      signals: [closeController.signal, readController.signal],
    });
    const { signal } = deadline;
    try {
      const page = await (from < 0
        ? store.newest(topic, signal)
        : store.read({ topic, from, waitMs, signal }));
      if (page.isOk()) {
        recordAnswerTime(opts.now() - beganAt, waitMs, page.value);
      }
      return page;
    } finally {
      deadline.close();
    }
  }

  function answerMs(): number {
    const { shortestMs, longestMs } = ANSWER_BOUNDS_MS;
    // A store may be slow after failures.
    if (failures > 1) return longestMs;
    return Math.min(
      longestMs,
      Math.max(shortestMs, tookMs * ANSWER_TIME_FACTOR),
    );
  }

  /**
   * Records the answer time of a read. Skips reads whose wait ended early
   * because records arrived, since their time does not show the store's speed.
   */
  function recordAnswerTime(
    elapsedMs: number,
    waitMs: number,
    page: RecordPage,
  ) {
    if (waitMs > 0 && page.records.length > 0) return;
    tookMs = Math.max(0, elapsedMs - waitMs);
  }

  async function waitAfterFailure(err: StoreError) {
    if (readController.signal.aborted) return;
    failures++;
    if (isHealthy !== false) opts.onHealth(err);
    isHealthy = false;
    await delay(
      backoffWithHalfJitter(FAILURE_BACKOFF_MS, failures, opts.random()),
    );
  }

  function delay(ms: number): Promise<unknown> {
    return sleep(ms, undefined, { signal: closeController.signal })
      // The only rejection is the abort by `close`, which ends the loop.
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
    stop: () => isOn = false,
    reconnect() {
      failures = 1;
      isHealthy = undefined;
      readController.abort();
    },
    close() {
      closeController.abort();
      wake();
      void running;
    },
  };
}
