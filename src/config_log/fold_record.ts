/**
 * Folds one record of the log into the state.
 *
 * The verdict depends on the log's content alone: no clock, no peer and no
 * setting, so that every process at the same offset holds the same state.
 * @module
 */
import { createHash } from "node:crypto";
import { exhausted } from "../core/exhausted.ts";
import type { Offset } from "../core/types.ts";
import { foldEdit } from "./fold_edit.ts";
import { foldSnapshot } from "./fold_snapshot.ts";
import { foldLease, foldReinstate, foldStep } from "./fold_rollout.ts";
import { type Envelope, type LogRecord, RecordKind } from "./messages.ts";
import { accepted, type Outcome } from "./outcome.ts";
import { parseEnvelope } from "./parse_envelope.ts";
import {
  type AuditEntry,
  type ConfigState,
  RefusalCode,
  type Verdict,
} from "./state.ts";

/** Audit entries kept in the state and in snapshots. */
export const MAX_AUDIT_ENTRIES = 256;

/** A writer unseen for this many offsets is forgotten. */
const writerMemory = 50_000;

/** Options of `foldRecord`. */
export interface FoldRecordOptions {
  readonly state: ConfigState;
  /** Must have the offset `state.next`. */
  readonly record: LogRecord;
}

/** Folds a record and returns its verdict. Throws on a gap in offsets. */
export function foldRecord(opts: FoldRecordOptions): Verdict {
  const { state, record } = opts;
  if (record.offset !== state.next) {
    throw new RangeError(
      `folded offset ${record.offset}, expected ${state.next}`,
    );
  }
  state.next = record.offset + 1;
  state.digest = chainDigest(state.digest, record.body);
  const parsed = parseEnvelope(record.body);
  if (parsed.isErr()) {
    const reason = parsed.error.message;
    noteMalformed(state, record.offset, reason);
    return refuse(record.offset, RefusalCode.Malformed, reason);
  }
  const envelope = parsed.value;
  if (isRepeated(state, envelope)) {
    return { type: "repeated", offset: record.offset };
  }
  markWriter(state, envelope, record.offset);
  const outcome = foldBody(state, envelope, record.offset);
  noteAudit(state, envelope, record.offset, outcome);
  switch (outcome.type) {
    case "accepted":
      if (outcome.changesServing) state.version = record.offset;
      return { type: "accepted", offset: record.offset };
    case "refused":
      return refuse(record.offset, outcome.code, outcome.reason);
    default:
      return exhausted(outcome);
  }
}

function foldBody(
  state: ConfigState,
  envelope: Envelope,
  offset: Offset,
): Outcome {
  const { record, at } = envelope;
  switch (record.kind) {
    case RecordKind.Edit:
      return foldEdit({ state, record, offset, at });
    case RecordKind.Lease:
      return foldLease({ state, record, offset });
    case RecordKind.RolloutStep:
      return foldStep({ state, record, offset, at });
    case RecordKind.Reinstate:
      return foldReinstate({ state, record, offset, at });
    case RecordKind.Presence:
      state.presence.set(record.domain, record.nodes);
      return accepted(false);
    case RecordKind.Snapshot: {
      const { writer } = envelope;
      return foldSnapshot({ state, writer, record, offset });
    }
    default:
      return exhausted(record);
  }
}

function chainDigest(previous: string, body: string): string {
  return createHash("sha256").update(previous).update(body).digest("hex");
}

function refuse(offset: Offset, code: RefusalCode, reason: string): Verdict {
  return { type: "refused", offset, code, reason };
}

function isRepeated(state: ConfigState, envelope: Envelope): boolean {
  const mark = state.writers.get(envelope.writer);
  return mark !== undefined && envelope.seq <= mark.seq;
}

function markWriter(state: ConfigState, envelope: Envelope, offset: Offset) {
  // Re-inserting keeps the map ordered by last offset, oldest first.
  state.writers.delete(envelope.writer);
  state.writers.set(envelope.writer, { seq: envelope.seq, lastOffset: offset });
  for (const [writer, mark] of state.writers) {
    if (mark.lastOffset > offset - writerMemory) break;
    state.writers.delete(writer);
  }
}

function noteAudit(
  state: ConfigState,
  envelope: Envelope,
  offset: Offset,
  outcome: Outcome,
) {
  const told = describeRecord(envelope);
  if (told === undefined) return;
  const entry: AuditEntry = {
    offset,
    at: envelope.at,
    who: told.who,
    what: told.what,
    verdict: outcome.type,
    ...(outcome.type === "refused"
      ? { code: outcome.code, reason: outcome.reason }
      : {}),
  };
  pushAudit(state, entry);
}

/** A record that can't be read has no writer and no time. */
function noteMalformed(state: ConfigState, offset: Offset, reason: string) {
  pushAudit(state, {
    offset,
    at: "",
    who: "unknown",
    what: "appends what is no record",
    verdict: "refused",
    code: RefusalCode.Malformed,
    reason,
  });
}

function pushAudit(state: ConfigState, entry: AuditEntry) {
  state.audit.push(entry);
  if (state.audit.length > MAX_AUDIT_ENTRIES) state.audit.shift();
}

/** Says who did what, or nothing for housekeeping records. */
function describeRecord(
  envelope: Envelope,
): { who: string; what: string } | undefined {
  const { record, writer } = envelope;
  switch (record.kind) {
    case RecordKind.Edit:
      return { who: record.editor, what: describeEdit(record.changes) };
    case RecordKind.Lease:
      return {
        who: record.holder,
        what: `takes lease ${record.name}, term ${record.term}`,
      };
    case RecordKind.RolloutStep:
      return {
        who: writer,
        what: `${record.step.type} of ${record.rollout}: ${record.step.reason}`,
      };
    case RecordKind.Reinstate:
      return {
        who: record.editor,
        what: `reinstates ${record.service}@${record.version}`,
      };
    case RecordKind.Presence:
    case RecordKind.Snapshot:
      return undefined;
    default:
      return exhausted(record);
  }
}

const maxChangesTold = 8;

function describeEdit(
  changes: readonly { list: string; key: string; value: unknown }[],
): string {
  const told = changes.slice(0, maxChangesTold).map((change) =>
    `${change.value === null ? "removes" : "sets"} ${change.list}/${change.key}`
  );
  const rest = changes.length - told.length;
  return told.join(", ") + (rest > 0 ? `, and ${rest} more` : "");
}
