/**
 * Records that the system keeps in the platform's `config` stream.
 * @module
 */
import type { CustomerEntry, UseEntry } from "../lists/types.ts";
import { ListName } from "../lists/types.ts";
import type { NodeId, Offset } from "../core/types.ts";

/** Stream of the platform's log that carries configuration. */
export const CONFIG_STREAM = "config";

/** A record as the log returns it. `body` is the exact text appended. */
export interface LogRecord {
  readonly offset: Offset;
  readonly body: string;
}

export const RecordKind = {
  Edit: "edit",
  Lease: "lease",
  RolloutStep: "rollout-step",
  Reinstate: "reinstate",
  Presence: "presence",
  Snapshot: "snapshot",
} as const;
export type RecordKind = typeof RecordKind[keyof typeof RecordKind];

/** Change of one entry. `expected` is the revision edited, 0 when absent. */
export type EntryChange =
  | {
    readonly list: typeof ListName.Customers;
    readonly key: string;
    readonly expected: Offset;
    readonly value: CustomerEntry | null;
  }
  | {
    readonly list: typeof ListName.Uses;
    readonly key: string;
    readonly expected: Offset;
    readonly value: UseEntry | null;
  };

/** An operator's edit. Accepted or refused as a whole. */
export interface EditRecord {
  readonly kind: typeof RecordKind.Edit;
  readonly editor: string;
  readonly changes: readonly EntryChange[];
}

/** A claim of a lease. `term` must be one more than the current term. */
export interface LeaseRecord {
  readonly kind: typeof RecordKind.Lease;
  readonly name: string;
  readonly holder: NodeId;
  readonly term: number;
}

export const StepType = {
  Share: "share",
  Bake: "bake",
  Done: "done",
  Rollback: "rollback",
  Block: "block",
} as const;
export type StepType = typeof StepType[keyof typeof StepType];

/** One step of a rollout. Reasons are sentences for operators. */
export type RolloutStep =
  | {
    readonly type: typeof StepType.Share;
    readonly perMille: number;
    readonly reason: string;
  }
  | { readonly type: typeof StepType.Bake; readonly reason: string }
  | { readonly type: typeof StepType.Done; readonly reason: string }
  | { readonly type: typeof StepType.Rollback; readonly reason: string }
  | { readonly type: typeof StepType.Block; readonly reason: string };

/** A step by the holder of lease `rollout/<id>`, fenced by its term. */
export interface RolloutStepRecord {
  readonly kind: typeof RecordKind.RolloutStep;
  readonly rollout: string;
  readonly term: number;
  readonly step: RolloutStep;
}

/** An operator lets a version that was taken back be tried again. */
export interface ReinstateRecord {
  readonly kind: typeof RecordKind.Reinstate;
  readonly editor: string;
  readonly service: string;
  readonly version: string;
}

/** A sample of live nodes of one failure domain, for bootstrapping. */
export interface PresenceRecord {
  readonly kind: typeof RecordKind.Presence;
  readonly domain: string;
  readonly nodes: readonly NodeId[];
}

/** One chunk of a snapshot of the state at offset `through`. */
export interface SnapshotRecord {
  readonly kind: typeof RecordKind.Snapshot;
  /** Snapshot includes every record up to this offset. */
  readonly through: Offset;
  readonly chunk: number;
  readonly chunks: number;
  /** SHA-256 of the whole content, in hexadecimal. */
  readonly hash: string;
  readonly data: string;
}

export type ConfigRecord =
  | EditRecord
  | LeaseRecord
  | RolloutStepRecord
  | ReinstateRecord
  | PresenceRecord
  | SnapshotRecord;

/** A record with its writer. `(writer, seq)` identifies repeats. */
export interface Envelope {
  /** Unique for each start of a writing process. */
  readonly writer: string;
  /** Grows by one for each record of a writer. */
  readonly seq: number;
  /** The writer's wall clock in ISO 8601, for the audit trail only. */
  readonly at: string;
  readonly record: ConfigRecord;
}
