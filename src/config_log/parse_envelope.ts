/**
 * Parses and checks the text of one record.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { LagoonError } from "../core/errors.ts";
import { customerSchema, nameSchema, useSchema } from "../lists/schemas.ts";
import { ListName } from "../lists/types.ts";
import { type Envelope, RecordKind, StepType } from "./messages.ts";

const MAX_REASON_LENGTH = 2_000;
const MAX_CHANGES = 20_000;
const MAX_PRESENCE_NODES = 16;

const offsetSchema = v.pipe(v.number(), v.integer(), v.minValue(0));
// Control characters, such as a line break, would let a name forge lines of the
// audit trail.
const identitySchema = v.pipe(
  v.string(),
  v.minLength(1),
  v.maxLength(200),
  v.regex(/^\P{Cc}*$/u, "no control characters"),
);
const reasonSchema = v.pipe(v.string(), v.maxLength(MAX_REASON_LENGTH));

const changeSchema = v.variant("list", [
  v.strictObject({
    list: v.literal(ListName.Customers),
    key: identitySchema,
    expected: offsetSchema,
    value: v.nullable(customerSchema),
  }),
  v.strictObject({
    list: v.literal(ListName.Uses),
    key: identitySchema,
    expected: offsetSchema,
    value: v.nullable(useSchema),
  }),
]);

const stepSchema = v.variant("type", [
  v.strictObject({
    type: v.literal(StepType.Share),
    perMille: v.pipe(
      v.number(),
      v.integer(),
      v.minValue(0),
      v.maxValue(1000),
    ),
    reason: reasonSchema,
  }),
  v.strictObject({ type: v.literal(StepType.Bake), reason: reasonSchema }),
  v.strictObject({ type: v.literal(StepType.Done), reason: reasonSchema }),
  v.strictObject({ type: v.literal(StepType.Rollback), reason: reasonSchema }),
  v.strictObject({ type: v.literal(StepType.Block), reason: reasonSchema }),
]);

const recordSchema = v.variant("kind", [
  v.strictObject({
    kind: v.literal(RecordKind.Edit),
    editor: identitySchema,
    changes: v.pipe(
      v.array(changeSchema),
      v.minLength(1),
      v.maxLength(MAX_CHANGES),
    ),
  }),
  v.strictObject({
    kind: v.literal(RecordKind.Lease),
    name: identitySchema,
    holder: identitySchema,
    term: v.pipe(v.number(), v.integer(), v.minValue(1)),
  }),
  v.strictObject({
    kind: v.literal(RecordKind.RolloutStep),
    rollout: identitySchema,
    term: offsetSchema,
    step: stepSchema,
  }),
  v.strictObject({
    kind: v.literal(RecordKind.Reinstate),
    editor: identitySchema,
    service: nameSchema,
    version: nameSchema,
  }),
  v.strictObject({
    kind: v.literal(RecordKind.Presence),
    domain: identitySchema,
    nodes: v.pipe(v.array(identitySchema), v.maxLength(MAX_PRESENCE_NODES)),
  }),
  v.strictObject({
    kind: v.literal(RecordKind.Snapshot),
    through: offsetSchema,
    chunk: offsetSchema,
    chunks: v.pipe(v.number(), v.integer(), v.minValue(1)),
    hash: identitySchema,
    data: v.string(),
  }),
]);

const envelopeSchema = v.strictObject({
  writer: identitySchema,
  seq: v.pipe(v.number(), v.integer(), v.minValue(1)),
  at: v.pipe(v.string(), v.maxLength(40)),
  record: recordSchema,
});

/** Parses the text of a record. Fails with `LAGOON_RECORD_MALFORMED`. */
export function parseEnvelope(body: string): Result<Envelope, LagoonError> {
  let raw: unknown;
  try {
    raw = JSON.parse(body);
  } catch {
    return err(malformed("not JSON"));
  }
  const parsed = v.safeParse(envelopeSchema, raw, { abortEarly: true });
  if (parsed.success) return ok(parsed.output);
  const issue = parsed.issues[0];
  const path = v.getDotPath(issue) ?? "record";
  return err(malformed(`${path}: ${issue.message}`));
}

function malformed(message: string): LagoonError {
  return {
    code: "LAGOON_RECORD_MALFORMED",
    step: "read a configuration record",
    message,
    hint: "Write records with lagoonctl or a node of this version.",
  };
}
