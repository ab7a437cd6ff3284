/**
 * Encodes the time at which an order was given, for the record in the store
 * beside its status. Without the record, the remaining time of an order would
 * be lost if all processes died.
 * @module
 */
import * as v from "valibot";
import { parseJson } from "../core/parse_json.ts";
import type { WallMs } from "../core/types.ts";
import type { KeyedRecord } from "../store/state.ts";

const KEY_PREFIX = "ordered/";

const orderTimeSchema = v.object({
  target: v.string(),
  /** Wall-clock time at the node that led the traffic shift. */
  orderedAt: v.pipe(v.number(), v.finite()),
});

export interface OrderTime {
  readonly service: string;
  readonly target: string;
  readonly orderedAt: WallMs;
}

export function encodeOrderTime(time: OrderTime): KeyedRecord {
  const { service, target, orderedAt } = time;
  return {
    key: `${KEY_PREFIX}${service}`,
    value: Buffer.from(JSON.stringify({ target, orderedAt })),
  };
}

/** Returns undefined for records that do not hold the time of an order. */
export function decodeOrderTime(record: KeyedRecord): OrderTime | undefined {
  const { key, value } = record;
  if (!key.startsWith(KEY_PREFIX) || value === undefined) return undefined;
  // Only nodes write these records. One in another format is ignored.
  const read = v.safeParse(orderTimeSchema, parseJson(value.toString()));
  if (!read.success) return undefined;
  return { service: key.slice(KEY_PREFIX.length), ...read.output };
}
