/**
 * State folded from the `config` stream, and the verdict on each record.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import type { CustomerEntry, RouteRule, WhenUnjudged } from "../lists/types.ts";

/** A customer entry with the offset and editor of its last change. */
export interface CustomerRow {
  readonly entry: CustomerEntry;
  readonly revision: Offset;
  readonly editor: string;
}

/** A use entry with the version that serves it now. */
export interface UseRow {
  readonly plan: string;
  readonly service: string;
  readonly routes: readonly RouteRule[];
  readonly whenUnjudged: WhenUnjudged;
  /** Version that the operator asked for. */
  readonly asked: string;
  /** Version that serves, until a rollout to `asked` is done. */
  readonly stable: string;
  readonly takeOverBy?: string;
  /** Live rollout that moves this entry from `stable` to `asked`. */
  readonly rollout?: string;
  readonly revision: Offset;
  readonly editor: string;
}

export const RolloutPhase = {
  Pending: "pending",
  Shifting: "shifting",
  Baking: "baking",
  Blocked: "blocked",
  Done: "done",
  RolledBack: "rolled-back",
  /** Ended because an edit moved every entry elsewhere. */
  Superseded: "superseded",
} as const;
export type RolloutPhase = typeof RolloutPhase[keyof typeof RolloutPhase];

/** A move of one service's entries to a version, as the log records it. */
export interface Rollout {
  /** `<service>@<version>#<offset of the edit>`. */
  readonly id: string;
  readonly service: string;
  readonly version: string;
  /** Keys of the use entries that move. */
  readonly entries: readonly string[];
  /** Versions that the entries come from. */
  readonly from: readonly string[];
  readonly takeOverBy?: string;
  readonly whenUnjudged: WhenUnjudged;
  readonly phase: RolloutPhase;
  /** Share of calls sent to `version`, in thousandths. */
  readonly perMille: number;
  /** Wall clock of the edit that began it, as its writer gave it. */
  readonly begunAt: string;
  readonly steps: readonly RecordedStep[];
}

/** A step that was taken, for explanations. */
export interface RecordedStep {
  readonly offset: Offset;
  /** The writer's wall clock, ISO 8601. */
  readonly at: string;
  readonly phase: RolloutPhase;
  readonly perMille: number;
  readonly reason: string;
}

/** One line of the audit trail. */
export interface AuditEntry {
  readonly offset: Offset;
  /** The writer's wall clock, ISO 8601. */
  readonly at: string;
  /** Operator or node that wrote the record. */
  readonly who: string;
  readonly what: string;
  readonly verdict: "accepted" | "refused";
  /** Code and reason of a refusal. */
  readonly code?: RefusalCode;
  readonly reason?: string;
}

/** A lease in force. Terms only grow. */
export interface Lease {
  readonly holder: NodeId;
  readonly term: number;
  readonly since: Offset;
}

/** A version of a service that was taken back. */
export interface WithdrawnVersion {
  readonly service: string;
  readonly version: string;
  readonly since: Offset;
  readonly reason: string;
}

export const RefusalCode = {
  Malformed: "LAGOON_RECORD_MALFORMED",
  RevisionConflict: "LAGOON_EDIT_CONFLICT",
  UnknownPlan: "LAGOON_EDIT_UNKNOWN_PLAN",
  PlanInUse: "LAGOON_EDIT_PLAN_IN_USE",
  VersionWithdrawn: "LAGOON_EDIT_VERSION_WITHDRAWN",
  StaleTerm: "LAGOON_LEASE_STALE_TERM",
  UnknownRollout: "LAGOON_ROLLOUT_UNKNOWN",
  RolloutEnded: "LAGOON_ROLLOUT_ENDED",
  StepOutOfOrder: "LAGOON_ROLLOUT_STEP_ORDER",
  NotWithdrawn: "LAGOON_REINSTATE_NOT_WITHDRAWN",
} as const;
export type RefusalCode = typeof RefusalCode[keyof typeof RefusalCode];

/** Outcome of one record, from the log's content alone. */
export type Verdict =
  | { readonly type: "accepted"; readonly offset: Offset }
  | {
    readonly type: "refused";
    readonly offset: Offset;
    readonly code: RefusalCode;
    readonly reason: string;
  }
  | { readonly type: "repeated"; readonly offset: Offset };

/** Why a submitted record has no verdict. */
export const UnsettledCode = {
  /** Too many records wait. */
  Overflow: "LAGOON_APPEND_OVERFLOW",
  /** No verdict came in time. */
  Timeout: "LAGOON_APPEND_TIMEOUT",
  /** A snapshot skipped the record, and its verdict with it. */
  Skipped: "LAGOON_APPEND_SKIPPED",
  /** The node stops. */
  Closed: "LAGOON_APPEND_CLOSED",
} as const;
export type UnsettledCode = typeof UnsettledCode[keyof typeof UnsettledCode];

/** What a submitted record came to. */
export type SubmitOutcome =
  | Verdict
  | {
    readonly type: "unsettled";
    readonly code: UnsettledCode;
    /** False when it never was and never will be in the log. */
    readonly mayTakeEffect: boolean;
  };

/** Last sequence number seen of a writer, for dropping repeats. */
export interface WriterMark {
  seq: number;
  lastOffset: Offset;
}

/** Who removed an entry, so that a late edit of it can be told. */
export interface Removal {
  readonly editor: string;
  readonly offset: Offset;
}

/** A snapshot of which the log holds the first chunks. */
export interface SnapshotBegun {
  readonly through: Offset;
  /** Chunks found in order. */
  readonly found: number;
}

/** Folded state. Only `foldRecord` and `loadSnapshot` change it. */
export interface ConfigState {
  /** Next offset to fold. */
  next: Offset;
  /** Version in force: offset of the last record that changed what is served. */
  version: Offset;
  /** Offset of the last change to the list of customers. */
  customersAt: Offset;
  /** Chain of SHA-256 over all records folded, in hexadecimal. */
  digest: string;
  customers: Map<string, CustomerRow>;
  uses: Map<string, UseRow>;
  rollouts: Map<string, Rollout>;
  withdrawn: Map<string, WithdrawnVersion>;
  /** Newest removals by `list/key`, oldest first. */
  removals: Map<string, Removal>;
  leases: Map<string, Lease>;
  presence: Map<string, readonly NodeId[]>;
  writers: Map<string, WriterMark>;
  /** Offset through which the newest whole snapshot in the log goes. */
  snapshotThrough: Offset;
  /** Snapshots of which some chunks are in the log, oldest first. */
  snapshotsBegun: Map<string, SnapshotBegun>;
  /** Newest entries last, bounded by `MAX_AUDIT_ENTRIES`. */
  audit: AuditEntry[];
}
