/**
 * Writes the stopped instances of the endpoint on this VM to the store, from
 * which this node's next process reads them.
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
 * Longest time that a confirmation waits for the store while other nodes know
 * the instance, in milliseconds. An endpoint expects its confirmation within a
 * second.
 */
const MAX_CONFIRMATION_WAIT_MS = 500;

/** Options of `createStoppedRecorder`. */
export interface CreateStoppedRecorderOptions {
  readonly self: NodeId;
  readonly store: KeyedStore;
  readonly topic: string;
  readonly log: Log;
  readonly random: () => number;
  /** Whether a link to another node is open. */
  readonly hasPeers: () => boolean;
}

export interface StoppedRecorder {
  /**
   * Writes the list, which replaces earlier ones. Resolves when the store has
   * it, or after `MAX_CONFIRMATION_WAIT_MS` if there are peers: they remember
   * the instances, and the record is written later.
   */
  record(stopped: readonly StoppedInstance[]): Promise<void>;
  /** Writes a list that another node knew. Nothing waits for it. */
  add(stopped: readonly StoppedInstance[]): void;
  /**
   * Adopts the list that an earlier process stored, which must not be replaced
   * unread, and then writes `stopped` if it differs. Nothing is written before.
   */
  adopt(
    stored: readonly StoppedInstance[],
    stopped: readonly StoppedInstance[],
  ): void;
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
  let isAdopted = false;
  let markAdopted = () => {};
  const adopted = new Promise<void>((resolve) => markAdopted = resolve);

  function isStored(): boolean {
    const { value } = encodeStopped(self, wanted);
    return value !== undefined && storedValue?.equals(value) === true;
  }

  /** Resolves when the store has the list, or when the recorder is closed. */
  function update(stopped: readonly StoppedInstance[]): Promise<void> {
    wanted = stopped;
    writing ??= write().finally(() => {
      writing = undefined;
    });
    return writing;
  }

  async function write() {
    if (!isAdopted) await adopted;
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
      const written = update(stopped);
      const waited = new AbortController();
      const isLate = await Promise.race([
        written.then(() => false),
        sleep(MAX_CONFIRMATION_WAIT_MS, true, { signal: waited.signal })
          // The abort below stops the timer once the record is stored.
          .catch(() => false),
      ]);
      waited.abort();
      if (!isLate) return;
      if (opts.hasPeers()) {
        const text = "stopped endpoint confirmed before it was stored";
        return log.write("store", LogLevel.Warn, text, { stopped });
      }
      const text = "stopped endpoint not confirmed: known to this node only";
      log.write("store", LogLevel.Warn, text, { stopped });
      await written;
    },
    add: (stopped) => void update(stopped),
    adopt(stored, stopped) {
      if (stored.length > 0) storedValue = encodeStopped(self, stored).value;
      isAdopted = true;
      markAdopted();
      if (stopped.length > 0) void update(stopped);
    },
    writeAgain() {
      if (wanted.length === 0) return;
      storedValue = undefined;
      void update(wanted);
    },
    close() {
      closing.abort();
      markAdopted();
    },
  };
}
