/**
 * When an order was given, as kept in the store beside its status: should every
 * process die, the time that the order still has would be lost.
 * @module
 */
import * as v from "valibot";
import { parseJson } from "../core/parse_json.ts";
import type { WallMs } from "../core/types.ts";
import type { KeyedRecord } from "../store/state.ts";

const keyPrefix = "ordered/";

const orderTimeSchema = v.object({
  target: v.string(),
  /** Time of day of the node that led the move. */
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
    key: `${keyPrefix}${service}`,
    value: Buffer.from(JSON.stringify({ target, orderedAt })),
  };
}

/** Undefined for records that hold no time of an order. */
export function decodeOrderTime(record: KeyedRecord): OrderTime | undefined {
  const { key, value } = record;
  if (!key.startsWith(keyPrefix) || value === undefined) return undefined;
  // Only nodes write here; a record of another writer is none of ours.
  const read = v.safeParse(orderTimeSchema, parseJson(value.toString()));
  if (!read.success) return undefined;
  return { service: key.slice(keyPrefix.length), ...read.output };
}
