/**
 * Writes the stopped instances of the endpoint on this VM to the store. Without
 * the record, a late ping would bring a stopped endpoint back after the
 * processes of all nodes have started again.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import { formatError } from "../core/errors.ts";
import type { NodeId } from "../core/types.ts";
import { encodeStopped } from "../local_endpoint/messages.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { KeyedStore } from "../store/state.ts";

/** Delays after failed calls to the store, in milliseconds. */
const RETRY_BACKOFF_MS = { firstMs: 150, longestMs: 1_500 };

/**
 * Longest time that a confirmation waits for the store, in milliseconds. An
 * endpoint expects its confirmation within a second.
 */
const MAX_CONFIRMATION_WAIT_MS = 500;

/** Options of `createStoppedRecorder`. */
export interface CreateStoppedRecorderOptions {
  readonly self: NodeId;
  readonly store: KeyedStore;
  readonly topic: string;
  readonly log: Log;
  readonly random: () => number;
}

export interface StoppedRecorder {
  /**
   * Writes the list, which replaces earlier ones. Resolves when the store has
   * it, or after `MAX_CONFIRMATION_WAIT_MS`: while the store is unreachable,
   * peers remember the instances, and the record is written later.
   */
  record(stopped: readonly StoppedInstance[]): Promise<void>;
  /** Writes the list again after the store has lost it. */
  writeAgain(): void;
  close(): void;
}

/** Creates the recorder. It calls the store only when a list has changed. */
export function createStoppedRecorder(
  opts: CreateStoppedRecorderOptions,
): StoppedRecorder {
  const { self, store, topic, log } = opts;
  const closing = new AbortController();
  const { signal } = closing;
  let wanted: readonly StoppedInstance[] = [];
  let writing: Promise<void> | undefined;
  let storedValue: Buffer | undefined;

  function isStored(): boolean {
    const { value } = encodeStopped(self, wanted);
    return value !== undefined && storedValue?.equals(value) === true;
  }

  async function write() {
    for (let failures = 0; !signal.aborted && !isStored();) {
      const record = encodeStopped(self, wanted);
      const appended = await store.append({
        topic,
        records: [record],
        condition: { type: "none" },
        signal,
      });
      if (appended.isOk()) {
        storedValue = record.value;
        failures = 0;
        continue;
      }
      const delayMs = backoffWithHalfJitter(
        RETRY_BACKOFF_MS,
        failures++,
        opts.random(),
      );
      const reason = formatError(appended.error);
      const text = "stopped endpoint not stored yet; retrying";
      log.write("store", LogLevel.Warn, text, { reason, failures });
      await sleep(delayMs, undefined, { signal })
        // The only rejection is the abort on close, which ends the loop.
        .catch(() => undefined);
    }
  }

  return {
    async record(stopped) {
      wanted = stopped;
      writing ??= write().finally(() => {
        writing = undefined;
      });
      const waited = new AbortController();
      const isLate = await Promise.race([
        writing.then(() => false),
        sleep(MAX_CONFIRMATION_WAIT_MS, true, { signal: waited.signal })
          // The abort below stops the timer once the record is stored.
          .catch(() => false),
      ]);
      waited.abort();
      if (isLate) {
        const text = "stopped endpoint confirmed before it was stored";
        log.write("store", LogLevel.Warn, text, { stopped });
      }
    },
    writeAgain() {
      if (wanted.length === 0) return;
      storedValue = undefined;
      writing ??= write().finally(() => {
        writing = undefined;
      });
    },
    close: () => closing.abort(),
  };
}
