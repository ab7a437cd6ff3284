/**
 * Folds one record of the log into the state.
 *
 * The verdict depends only on the log's content, not on clocks, peers or
 * settings, so all processes at the same offset hold the same state.
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

/** Limit on the audit entries kept in the state and in snapshots. */
export const MAX_AUDIT_ENTRIES = 256;

/**
 * Number of offsets without a record of a writer after which the writer's last
 * sequence number is dropped.
 */
const WRITER_RETENTION_OFFSETS = 50_000;

/** Options of `foldRecord`. */
export interface FoldRecordOptions {
  readonly state: ConfigState;
  /** Must have the offset `state.next`. */
  readonly record: LogRecord;
}

/**
 * Folds a record and returns its verdict. Throws a `RangeError` if its offset
 * is not the next one.
 */
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
    recordMalformed(state, record.offset, reason);
    return refuse(record.offset, RefusalCode.Malformed, reason);
  }
  const envelope = parsed.value;
  if (isRepeated(state, envelope)) {
    return { type: "repeated", offset: record.offset };
  }
  recordWriter(state, envelope, record.offset);
  const outcome = foldBody(state, envelope, record.offset);
  recordAudit(state, envelope, record.offset, outcome);
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
  const last = state.writers.get(envelope.writer);
  return last !== undefined && envelope.seq <= last.seq;
}

function recordWriter(state: ConfigState, envelope: Envelope, offset: Offset) {
  // Deleting and inserting again keeps the map ordered by last offset, oldest
  // first.
  state.writers.delete(envelope.writer);
  state.writers.set(envelope.writer, { seq: envelope.seq, lastOffset: offset });
  for (const [writer, last] of state.writers) {
    if (last.lastOffset > offset - WRITER_RETENTION_OFFSETS) break;
    state.writers.delete(writer);
  }
}

function recordAudit(
  state: ConfigState,
  envelope: Envelope,
  offset: Offset,
  outcome: Outcome,
) {
  const description = describeRecord(envelope);
  if (description === undefined) return;
  const entry: AuditEntry = {
    offset,
    at: envelope.at,
    who: description.who,
    what: description.what,
    verdict: outcome.type,
    ...(outcome.type === "refused"
      ? { code: outcome.code, reason: outcome.reason }
      : {}),
  };
  pushAudit(state, entry);
}

/** Records a malformed record, of which neither writer nor time is known. */
function recordMalformed(state: ConfigState, offset: Offset, reason: string) {
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

/**
 * Describes who did what, for the audit trail. Returns nothing for presence and
 * snapshot records, which nodes write by themselves.
 */
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

/** Limit on the changes that the audit entry of one edit names. */
const MAX_DESCRIBED_CHANGES = 8;

function describeEdit(
  changes: readonly { list: string; key: string; value: unknown }[],
): string {
  const described = changes.slice(0, MAX_DESCRIBED_CHANGES).map((change) =>
    `${change.value === null ? "removes" : "sets"} ${change.list}/${change.key}`
  );
  const rest = changes.length - described.length;
  return described.join(", ") + (rest > 0 ? `, and ${rest} more` : "");
}
