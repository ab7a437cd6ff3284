/**
 * The record in the store that lists the stopped instances of a node's VM, so
 * that the next process of the node knows them.
 *
 * The record stands in the topic of the nodes under `stopped/ADDRESS`. Its value
 * is a JSON array of `{"id": string, "bornAt": milliseconds since 1970}`.
 * @module
 */
import * as v from "valibot";
import { parseJson } from "../core/parse_json.ts";
import type { NodeId } from "../core/types.ts";
import type { KeyedRecord } from "../store/state.ts";
import type { StoppedInstance } from "./state.ts";

const KEY_PREFIX = "stopped/";

/** Limits for a record, which another program may have written. */
const MAX_INSTANCES = 64;
const MAX_ID_CHARS = 512;

const stoppedSchema = v.pipe(
  v.array(v.object({
    id: v.pipe(v.string(), v.maxLength(MAX_ID_CHARS)),
    bornAt: v.pipe(v.number(), v.safeInteger()),
  })),
  v.maxLength(MAX_INSTANCES),
);

/** Whether a record of the topic of the nodes lists stopped instances. */
export function isStoppedRecord({ key }: KeyedRecord): boolean {
  return key.startsWith(KEY_PREFIX);
}

/** Returns the key of a node's record. */
export function keyOfStopped(node: NodeId): string {
  return KEY_PREFIX + node;
}

/** Ids that are too long to be read again are left out. */
export function encodeStopped(
  node: NodeId,
  stopped: readonly StoppedInstance[],
): KeyedRecord {
  const kept = stopped
    .filter(({ id }) => id.length <= MAX_ID_CHARS)
    .map(({ id, bornAt }) => ({ id, bornAt }));
  return { key: keyOfStopped(node), value: Buffer.from(JSON.stringify(kept)) };
}

/** Returns undefined for a malformed record. */
export function decodeStopped(
  { value }: KeyedRecord,
): readonly StoppedInstance[] | undefined {
  const read = v.safeParse(stoppedSchema, parseJson(value?.toString() ?? ""));
  return read.success ? read.output : undefined;
}
