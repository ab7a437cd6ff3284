/**
 * Follows a keyed topic from its newest records on.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import type { ResultAsync } from "neverthrow";
import { pauseAfter } from "../core/pause_after.ts";
import type { Offset } from "../core/types.ts";
import type {
  KeyedRecord,
  KeyedStore,
  RecordPage,
  StoreError,
} from "./state.ts";

/** Longest wait of one read, in milliseconds. Bounds a read that went silent. */
const readWaitMs = 5_000;

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
  /** Takes records in order. `end` is the offset after the last of them. */
  readonly onRecords: (records: readonly KeyedRecord[], end: Offset) => void;
  /** Called when the store is lost or regained. */
  readonly onHealth: (err: StoreError | undefined) => void;
  readonly random: () => number;
}

export interface TopicFollower {
  /** Ends a read that waits, and reads again on a new connection. */
  kick(): void;
  /** False while reads fail. */
  isHealthy(): boolean;
  close(): void;
}

/** Starts following. Goes on until closed. */
export function followTopic(opts: FollowTopicOptions): TopicFollower {
  const closing = new AbortController();
  let reading = new AbortController();
  let failures = 1;

  async function run() {
    let next: Offset | undefined;
    while (!closing.signal.aborted) {
      reading = new AbortController();
      const page = await readPage(next);
      if (closing.signal.aborted) return;
      if (page.isErr()) {
        const { fault } = page.error;
        // History that was dropped is made up for by the newest records.
        if (fault.type === "dropped") next = undefined;
        else await backOff(page.error);
        continue;
      }
      if (failures > 0) opts.onHealth(undefined);
      failures = 0;
      const isFirst = next === undefined;
      next = page.value.next;
      if (page.value.records.length === 0 && !isFirst) continue;
      opts.onRecords(page.value.records, next);
      await pause(pauseMs);
    }
  }

  function readPage(
    next: Offset | undefined,
  ): ResultAsync<RecordPage, StoreError> {
    const signal = AbortSignal.any([closing.signal, reading.signal]);
    const { store, topic } = opts;
    // A store that is back says so at once, not at the end of a long wait.
    const waitMs = failures > 0 ? 0 : readWaitMs;
    return next === undefined
      ? store.newest(topic, signal)
      : store.read({ topic, from: next, waitMs, signal });
  }

  async function backOff(err: StoreError) {
    if (reading.signal.aborted) return;
    failures++;
    if (failures === 1) opts.onHealth(err);
    await pause(pauseAfter(failureBounds, failures, opts.random()));
  }

  function pause(ms: number): Promise<unknown> {
    return sleep(ms, undefined, { signal: closing.signal })
      // The only rejection is the abort on close, which ends the loop.
      .catch(() => undefined);
  }

  const running = run();
  return {
    kick: () => reading.abort(),
    isHealthy: () => failures === 0,
    close() {
      closing.abort();
      void running;
    },
  };
}
