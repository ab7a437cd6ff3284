/**
 * Folds one record of the `claims` stream into the state and drops the keys
 * whose records are past the log's retention.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { LagoonError } from "../core/errors.ts";
import type { MonotonicMs } from "../core/types.ts";
import { foldClaim } from "./fold_claim.ts";
import type { ClaimBatch } from "./messages.ts";
import type { ClaimRecord, ClaimsState } from "./state.ts";

const idSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(200));
const countSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
const outcomeSchema = v.variant("type", [
  v.strictObject({
    type: v.literal("answered"),
    status: countSchema,
    headers: v.record(v.string(), v.string()),
    body: v.exactOptional(v.string()),
  }),
  v.strictObject({ type: v.literal("unknown") }),
]);
const itemSchema = v.variant("type", [
  v.strictObject({
    type: v.literal("claim"),
    key: idSchema,
    attempt: idSchema,
    digest: idSchema,
    leftMs: v.number(),
  }),
  v.strictObject({
    type: v.literal("outcome"),
    key: idSchema,
    attempt: idSchema,
    outcome: outcomeSchema,
  }),
  v.strictObject({
    type: v.literal("release"),
    key: idSchema,
    attempt: idSchema,
  }),
]);
const batchSchema = v.strictObject({
  writer: idSchema,
  floor: countSchema,
  items: v.array(itemSchema),
});

/** Options of `foldBatch`. */
export interface FoldBatchOptions {
  readonly state: ClaimsState;
  readonly record: ClaimRecord;
  readonly now: MonotonicMs;
}

/** Folds a record. Every reader skips a malformed record. */
export function foldBatch(
  opts: FoldBatchOptions,
): Result<ClaimBatch, LagoonError> {
  const { state, record, now } = opts;
  const { offset } = record;
  state.next = Math.max(state.next, offset + 1);
  const batch = parseBatch(record.body);
  if (batch.isErr()) return batch;
  // A floor above the offset of the record that contains it is invalid.
  state.floor = Math.max(state.floor, Math.min(batch.value.floor, offset));
  removeExpired(state);
  for (const item of batch.value.items) {
    foldClaim({ state, item, offset, now });
  }
  return batch;
}

/** Parses the body of a record. Fails with `LAGOON_CLAIM_MALFORMED`. */
export function parseBatch(body: string): Result<ClaimBatch, LagoonError> {
  try {
    const parsed = v.safeParse(batchSchema, JSON.parse(body));
    if (parsed.success) return ok(parsed.output);
    return err(malformed(parsed.issues[0].message));
  } catch {
    return err(malformed("not JSON"));
  }
}

function malformed(message: string): LagoonError {
  return {
    code: "LAGOON_CLAIM_MALFORMED",
    step: "read a record of claims",
    message,
    hint: "Only nodes write to the stream of claims.",
  };
}

function removeExpired(state: ClaimsState) {
  for (const [key, claim] of state.held) {
    if (claim.lastOffset >= state.floor) return;
    state.held.delete(key);
  }
}
