/**
 * Types of the records in the `config` stream of the platform's log.
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

/**
 * Change of one entry. `value` is the new entry, or null to remove it.
 * `expected` is the revision that the editor changes, 0 for a new entry.
 */
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

/** An operator's edit. All its changes are accepted, or none. */
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

/** Steps of a rollout, which change its phase. */
export const StepType = {
  /** Sets the version's share of calls. */
  Share: "share",
  /** Begins the bake: the version serves alone and is watched. */
  Bake: "bake",
  /** Makes the version the stable one. */
  Done: "done",
  /** Returns all calls to the old version and withdraws the new one. */
  Rollback: "rollback",
  /** Keeps the share, since too few calls can be analyzed in time. */
  Block: "block",
} as const;
export type StepType = typeof StepType[keyof typeof StepType];

/** One step of a rollout. `reason` is a sentence for operators. */
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

/** A step by the holder of lease `rollout/<id>`, fenced by the lease's term. */
export interface RolloutStepRecord {
  readonly kind: typeof RecordKind.RolloutStep;
  readonly rollout: string;
  readonly term: number;
  readonly step: RolloutStep;
}

/** An operator allows a withdrawn version to be rolled out again. */
export interface ReinstateRecord {
  readonly kind: typeof RecordKind.Reinstate;
  readonly editor: string;
  readonly service: string;
  readonly version: string;
}

/** Some live nodes of a failure domain, through which a new node can join. */
export interface PresenceRecord {
  readonly kind: typeof RecordKind.Presence;
  readonly domain: string;
  readonly nodes: readonly NodeId[];
}

/** One chunk of a snapshot of the folded state. */
export interface SnapshotRecord {
  readonly kind: typeof RecordKind.Snapshot;
  /** The snapshot includes every record up to this offset. */
  readonly through: Offset;
  /** Position of this chunk, from 0. */
  readonly chunk: number;
  /** Number of chunks of the snapshot. */
  readonly chunks: number;
  /** SHA-256 of the data of all chunks together, in hexadecimal. */
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

/** A record with its writer. `(writer, seq)` identifies repeated records. */
export interface Envelope {
  /** Name of the writing process. A restarted process uses another name. */
  readonly writer: string;
  /** Sequence number, one more for each record of the writer. */
  readonly seq: number;
  /** Wall-clock time of the writer, ISO 8601. Only for the audit trail. */
  readonly at: string;
  readonly record: ConfigRecord;
}
