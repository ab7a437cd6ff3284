/**
 * Experiment `accounts`: what a configuration with many client accounts costs a
 * node: bytes, time to decode a version, memory, and time to check a key.
 * @module
 */
import { Buffer } from "node:buffer";
import process from "node:process";
import { checkKey, Parent } from "../../src/accounts/check_key.ts";
import { encodeMessage } from "../../src/links/encode_message.ts";
import type { RouteTable } from "../../src/routes/state.ts";
import { collectGarbage } from "../../src/testing/collect_garbage.ts";
import {
  createOperatorDecoder,
  type OperatorDecoder,
} from "../../platform/decode_operator_record.ts";
import {
  createTenants,
  keysOf,
  replaceFirstKey,
} from "../../platform/testing/many_tenants.ts";
import {
  configOf,
  type TestTenant,
} from "../../platform/testing/operator_documents.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const ACCOUNT_COUNT = 10_000;
const KEYS_PER_ACCOUNT = 2;
const RULES = [{ prefix: "/one/", service: "one" }];

/** Versions that are decoded for one figure; the median is reported. */
const VERSION_COUNT = 15;
const CHECK_COUNT = 1_000_000;
const BYTES_PER_MB = 1_048_576;
const NS_PER_MS = 1_000_000;

/** Measures with and without accounts. */
export function runAccounts(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const tenants = createTenants({
    count: ACCOUNT_COUNT,
    keysPerTenant: KEYS_PER_ACCOUNT,
    seed: opts.seed,
  });
  opts.onProgress(`Decoding ${ACCOUNT_COUNT} accounts.`);
  const before = usedHeap();
  const decode = createOperatorDecoder();
  const first = recordOf(1, tenants);
  const table = decodeTable(decode, first);
  const heap = usedHeap() - before;
  const next = replaceFirstKey(tenants);
  const records = [{ key: "config", value: first }];
  const page = encodeMessage({ type: "operator", from: -1, end: 1, records });
  const withoutReuse = median((version) => {
    const record = recordOf(version, tenants);
    return timeOf(() => decodeTable(createOperatorDecoder(), record));
  });
  const withReuse = median((version) => {
    const record = recordOf(version, version % 2 === 0 ? next : tenants);
    return timeOf(() => decodeTable(decode, record));
  });
  decodeTable(decode, first);
  const unchanged = median((version) => {
    const record = recordOf(version, tenants);
    return timeOf(() => decodeTable(decode, record));
  });
  const parse = median((version) => {
    const text = recordOf(version, tenants).toString();
    return timeOf(() => JSON.parse(text));
  });
  const open = decodeTable(createOperatorDecoder(), recordOf(1));
  return Promise.resolve([
    figure("record of a version", first.length / BYTES_PER_MB, "MB"),
    figure("the same between nodes", page.length / BYTES_PER_MB, "MB"),
    figure("heap of the table", heap / BYTES_PER_MB, "MB"),
    figure("first version decoded", withoutReuse, "ms"),
    figure("version with one changed account decoded", withReuse, "ms"),
    figure("version with the same accounts decoded", unchanged, "ms"),
    figure("of which JSON", parse, "ms"),
    figure("check of a key", checkNs(table, tenants), "ns"),
    figure("check without accounts", checkNs(open, tenants), "ns"),
  ]);
}

function recordOf(version: number, tenants?: readonly TestTenant[]): Buffer {
  return Buffer.from(JSON.stringify(configOf(version, RULES, tenants)));
}

function decodeTable(decode: OperatorDecoder, value: Buffer): RouteTable {
  const record = decode({ key: "config", value })._unsafeUnwrap();
  if (record.type !== "table") throw new TypeError("the record is no table");
  return record.table;
}

/** Heap after a collection, in bytes, without the records' own bytes. */
function usedHeap(): number {
  collectGarbage();
  return process.memoryUsage().heapUsed;
}

function median(measure: (version: number) => number): number {
  const times = Array.from(
    { length: VERSION_COUNT },
    (_, at) => measure(at + 2),
  );
  return times.toSorted((a, b) => a - b)[VERSION_COUNT >> 1] ?? 0;
}

function timeOf(run: () => unknown): number {
  const startedAt = performance.now();
  run();
  return performance.now() - startedAt;
}

/** Mean time to check the key of a request. */
function checkNs(table: RouteTable, tenants: readonly TestTenant[]): number {
  const keys = keysOf(tenants);
  const route = table.hosts.values().next().value?.values().next().value;
  const parent = Parent.None;
  const ms = timeOf(() => {
    for (let at = 0; at < CHECK_COUNT; at++) {
      const key = { type: "one", key: keys[at % keys.length] ?? "" } as const;
      checkKey({ table, route, key, parent });
    }
  });
  return ms * NS_PER_MS / CHECK_COUNT;
}
