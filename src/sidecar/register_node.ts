/**
 * Writes this node's address to the store and finds the other nodes there.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { formatError } from "../core/errors.ts";
import { isAddress } from "../core/is_address.ts";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import type { Member } from "../fleet/state.ts";
import {
  decodeStopped,
  isStoppedRecord,
  keyOfStopped,
} from "../local_endpoint/messages.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { KeyedRecord } from "../store/state.ts";
import {
  decodeOrderTime,
  type OrderTime,
} from "../traffic_shift/order_time.ts";
import type { ShiftStatus } from "../traffic_shift/state.ts";
import type { Platform, SidecarSettings } from "./platform_port.ts";

/** Delays after failed calls to the store, in milliseconds. */
const RETRY_BACKOFF_MS = { firstMs: 150, longestMs: 1_500 };

/** Limit for the name of a failure domain. Other values come from others. */
const MAX_DOMAIN_BYTES = 256;

/** Options of `registerNode`. */
export interface RegisterNodeOptions {
  readonly settings: SidecarSettings;
  readonly platform: Platform;
  readonly log: Log;
  readonly random: () => number;
  readonly onNodes: (nodes: readonly Member[]) => void;
  /**
   * Called once, with the instances that stopped beside earlier processes here
   * by the store.
   */
  readonly onStopped: (stopped: readonly StoppedInstance[]) => void;
  readonly onStatus: (status: ShiftStatus) => void;
  readonly onOrderTime: (time: OrderTime) => void;
}

export interface Registration {
  /**
   * Reads the statuses of earlier traffic shifts, once. Without an order they
   * don't matter, and each call to the store has a cost.
   */
  readStatuses(): void;
  /** Writes the node's address again after the store has lost it. */
  writeAgain(): void;
  close(): void;
}

/**
 * Starts registering. The node's address is written before those of other nodes
 * are read, so of two nodes that start together at least one finds the other.
 */
export function registerNode(opts: RegisterNodeOptions): Registration {
  const { settings, platform, log } = opts;
  const { store, topics } = platform;
  const closing = new AbortController();
  const { signal } = closing;

  async function retryUntilDone<T>(
    step: string,
    attempt: () => Promise<T | undefined>,
  ): Promise<T | undefined> {
    for (let failures = 0; !signal.aborted; failures++) {
      const value = await attempt();
      if (value !== undefined) return value;
      const delayMs = backoffWithHalfJitter(
        RETRY_BACKOFF_MS,
        failures,
        opts.random(),
      );
      log.write("store", LogLevel.Warn, "store call failed; retrying", {
        step,
        failures,
      });
      await sleep(delayMs, undefined, { signal })
        // The only rejection is the abort on close, which ends the loop.
        .catch(() => undefined);
    }
    return undefined;
  }

  async function newest(topic: string) {
    const page = await store.newest(topic, signal);
    if (page.isOk()) return page.value.records;
    const reason = formatError(page.error);
    log.write("store", LogLevel.Warn, "store read failed", { reason });
    return undefined;
  }

  async function writeAddress() {
    const value = Buffer.from(settings.domain);
    await retryUntilDone("register", async () => {
      const appended = await store.append({
        topic: topics.nodes,
        records: [{ key: settings.node, value }],
        condition: { type: "none" },
      });
      return appended.isOk() ? true : undefined;
    });
  }

  async function run() {
    await writeAddress();
    const nodes = await retryUntilDone(
      "find nodes",
      () => newest(topics.nodes),
    );
    if (signal.aborted) return;
    const records = (nodes ?? []).filter((one) => !isStoppedRecord(one));
    recallStopped(nodes ?? []);
    // Other programs write to the store too.
    const malformed = records.filter(({ key }) => !isAddress(key));
    if (malformed.length > 0) {
      const fields = { count: malformed.length, first: malformed[0]?.key };
      log.write(
        "store",
        LogLevel.Warn,
        "malformed node entries ignored",
        fields,
      );
    }
    opts.onNodes(
      records.flatMap(({ key: node, value }) =>
        isAddress(node) ? [{ node, domain: decodeDomain(value) }] : []
      ),
    );
  }

  function recallStopped(records: readonly KeyedRecord[]) {
    const key = keyOfStopped(settings.node);
    const own = records.find((record) => record.key === key);
    const stopped = own === undefined ? [] : decodeStopped(own);
    if (stopped === undefined) {
      const text = "malformed entry of stopped endpoints ignored";
      log.write("store", LogLevel.Warn, text, { key });
    }
    opts.onStopped(stopped ?? []);
  }

  let reading: Promise<void> | undefined;

  async function readStatuses() {
    const records = await retryUntilDone(
      "read statuses",
      () => newest(topics.status),
    );
    for (const record of records ?? []) {
      const status = platform.decodeStatus(record);
      if (status !== undefined) opts.onStatus(status);
      const time = decodeOrderTime(record);
      if (time !== undefined) opts.onOrderTime(time);
    }
  }

  void run();
  return {
    writeAgain: () => void writeAddress(),
    readStatuses: () => void (reading ??= readStatuses()),
    close: () => closing.abort(),
  };
}

/** Returns an empty name if the value can't be the name of a domain. */
function decodeDomain(value: Buffer | undefined): string {
  if (value === undefined || value.length > MAX_DOMAIN_BYTES) return "";
  return value.toString();
}
