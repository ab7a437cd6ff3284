/**
 * Decodes a snapshot completely, or fails without a partial state.
 * @module
 */
import { inflateRawSync } from "node:zlib";
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { LagoonError } from "../core/errors.ts";
import {
  type EncodedSnapshot,
  hashOf,
  SNAPSHOT_FORMAT,
} from "./encode_snapshot.ts";
import type { ConfigState } from "./state.ts";

/** Limit on the decompressed content. Bounds memory against a bad snapshot. */
const MAX_CONTENT_BYTES = 64 * 1024 * 1024;

const entriesSchema = v.array(
  v.tuple([v.string(), v.looseObject({})]),
);

const contentSchema = v.object({
  format: v.literal(SNAPSHOT_FORMAT),
  next: v.number(),
  version: v.number(),
  customersAt: v.number(),
  digest: v.string(),
  customers: entriesSchema,
  uses: entriesSchema,
  rollouts: entriesSchema,
  withdrawn: entriesSchema,
  removals: entriesSchema,
  leases: entriesSchema,
  presence: v.array(v.tuple([v.string(), v.array(v.string())])),
  writers: entriesSchema,
  snapshotThrough: v.number(),
  snapshotsBegun: entriesSchema,
  audit: v.array(v.looseObject({})),
});

/** Decodes a snapshot. Fails with `LAGOON_SNAPSHOT_CORRUPT`. */
export function decodeSnapshot(
  snapshot: EncodedSnapshot,
): Result<ConfigState, LagoonError> {
  if (hashOf(snapshot.data) !== snapshot.hash) {
    return err(createCorruptError(snapshot, "content does not match its hash"));
  }
  let raw: unknown;
  try {
    const bytes = Buffer.from(snapshot.data, "base64");
    const text = inflateRawSync(bytes, { maxOutputLength: MAX_CONTENT_BYTES });
    raw = JSON.parse(text.toString());
  } catch (cause) {
    return err(createCorruptError(snapshot, String(cause)));
  }
  const parsed = v.safeParse(contentSchema, raw, { abortEarly: true });
  if (!parsed.success) {
    const path = v.getDotPath(parsed.issues[0]) ?? "content";
    return err(
      createCorruptError(snapshot, `${path}: ${parsed.issues[0].message}`),
    );
  }
  if (parsed.output.next !== snapshot.through + 1) {
    return err(
      createCorruptError(
        snapshot,
        "content does not end at the snapshot's offset",
      ),
    );
  }
  return ok(createState(parsed.output));
}

function createState(
  content: v.InferOutput<typeof contentSchema>,
): ConfigState {
  const { format: _, ...rest } = content;
  // The rows are not checked further: the hash matched, so a node that writes
  // this format has written them.
  return {
    ...rest,
    customers: new Map(rest.customers),
    uses: new Map(rest.uses),
    rollouts: new Map(rest.rollouts),
    withdrawn: new Map(rest.withdrawn),
    removals: new Map(rest.removals),
    leases: new Map(rest.leases),
    presence: new Map(rest.presence),
    writers: new Map(rest.writers),
    snapshotsBegun: new Map(rest.snapshotsBegun),
  } as unknown as ConfigState;
}

function createCorruptError(
  snapshot: EncodedSnapshot,
  message: string,
): LagoonError {
  return {
    code: "LAGOON_SNAPSHOT_CORRUPT",
    step: `decode the snapshot through offset ${snapshot.through}`,
    message,
    hint: "The node uses an older snapshot or one from another peer instead.",
  };
}
