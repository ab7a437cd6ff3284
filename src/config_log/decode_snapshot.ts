/**
 * Reads a snapshot, whole or not at all.
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

const maxContentBytes = 64 * 1024 * 1024;

const entries = v.array(
  v.tuple([v.string(), v.looseObject({})]),
);

const contentSchema = v.object({
  format: v.literal(SNAPSHOT_FORMAT),
  next: v.number(),
  version: v.number(),
  customersAt: v.number(),
  digest: v.string(),
  customers: entries,
  uses: entries,
  rollouts: entries,
  withdrawn: entries,
  removals: entries,
  leases: entries,
  presence: v.array(v.tuple([v.string(), v.array(v.string())])),
  writers: entries,
  snapshotThrough: v.number(),
  snapshotsBegun: entries,
  audit: v.array(v.looseObject({})),
});

/** Decodes a snapshot. Fails with `LAGOON_SNAPSHOT_CORRUPT`. */
export function decodeSnapshot(
  snapshot: EncodedSnapshot,
): Result<ConfigState, LagoonError> {
  if (hashOf(snapshot.data) !== snapshot.hash) {
    return err(corrupt(snapshot, "content does not match its hash"));
  }
  let raw: unknown;
  try {
    const bytes = Buffer.from(snapshot.data, "base64");
    const text = inflateRawSync(bytes, { maxOutputLength: maxContentBytes });
    raw = JSON.parse(text.toString());
  } catch (cause) {
    return err(corrupt(snapshot, String(cause)));
  }
  const parsed = v.safeParse(contentSchema, raw, { abortEarly: true });
  if (!parsed.success) {
    const path = v.getDotPath(parsed.issues[0]) ?? "content";
    return err(corrupt(snapshot, `${path}: ${parsed.issues[0].message}`));
  }
  if (parsed.output.next !== snapshot.through + 1) {
    return err(corrupt(snapshot, "content ends at another offset"));
  }
  return ok(toState(parsed.output));
}

function toState(content: v.InferOutput<typeof contentSchema>): ConfigState {
  const { format: _, ...rest } = content;
  // The hash vouches for the rows: only a node of this format wrote them.
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

function corrupt(snapshot: EncodedSnapshot, message: string): LagoonError {
  return {
    code: "LAGOON_SNAPSHOT_CORRUPT",
    step: `read the snapshot through offset ${snapshot.through}`,
    message,
    hint: "An older snapshot or another peer is used instead.",
  };
}
