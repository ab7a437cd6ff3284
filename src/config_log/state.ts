/**
 * State folded from the `config` stream, and the verdict on each record.
 * @module
 */
import type { NodeId, Offset } from "../core/types.ts";
import type { CustomerEntry, RouteRule, WhenUnjudged } from "../lists/types.ts";

/** A customer entry with the offset and the editor of its last change. */
export interface CustomerRow {
  readonly entry: CustomerEntry;
  readonly revision: Offset;
  readonly editor: string;
}

/**
 * A use entry (the routes of one service that a plan may use) with the version
 * that serves it now.
 */
export interface UseRow {
  readonly plan: string;
  readonly service: string;
  readonly routes: readonly RouteRule[];
  readonly whenUnjudged: WhenUnjudged;
  /** Version that the operator requested, the target of the rollout. */
  readonly asked: string;
  /** Version that serves the entry until a rollout to `asked` is done. */
  readonly stable: string;
  /** Time by which `asked` should serve all calls, ISO 8601. */
  readonly takeOverBy?: string;
  /** Live rollout that moves this entry from `stable` to `asked`. */
  readonly rollout?: string;
  readonly revision: Offset;
  readonly editor: string;
}

/** Phases of a rollout. */
export const RolloutPhase = {
  /** No step was taken yet, so the version gets no calls. */
  Pending: "pending",
  /** The version gets a share of the calls. */
  Shifting: "shifting",
  /** The version serves alone while the old one is kept for a rollback. */
  Baking: "baking",
  /** Too few calls to analyze: the share stays until more are analyzed. */
  Blocked: "blocked",
  /** The version is the stable one. */
  Done: "done",
  /** The old version serves again and the new one is withdrawn. */
  RolledBack: "rolled-back",
  /** Ended because edits gave every entry another version or removed it. */
  Superseded: "superseded",
} as const;
export type RolloutPhase = typeof RolloutPhase[keyof typeof RolloutPhase];

/** Rollout of a version to use entries of its service, folded from the log. */
export interface Rollout {
  /** `<service>@<version>#<offset of the edit>`. */
  readonly id: string;
  readonly service: string;
  readonly version: string;
  /** Keys of the use entries that the version is rolled out to. */
  readonly entries: readonly string[];
  /** Versions that served the entries before. */
  readonly from: readonly string[];
  readonly takeOverBy?: string;
  readonly whenUnjudged: WhenUnjudged;
  readonly phase: RolloutPhase;
  /** Share of calls sent to `version`, in thousandths. */
  readonly perMille: number;
  /** Writer's wall-clock time of the edit that began the rollout, ISO 8601. */
  readonly begunAt: string;
  readonly steps: readonly RecordedStep[];
}

/** A step of a rollout, kept to explain the rollout to operators. */
export interface RecordedStep {
  readonly offset: Offset;
  /** The writer's wall clock, ISO 8601. */
  readonly at: string;
  readonly phase: RolloutPhase;
  readonly perMille: number;
  readonly reason: string;
}

/** One entry of the audit trail. */
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

/** A lease in force. Its term grows by one with each claim. */
export interface Lease {
  readonly holder: NodeId;
  readonly term: number;
  readonly since: Offset;
}

/**
 * A version that was rolled back. New edits that request it are refused until
 * an operator reinstates it.
 */
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

/** Outcome of one record. Depends only on the content of the log. */
export type Verdict =
  | { readonly type: "accepted"; readonly offset: Offset }
  | {
    readonly type: "refused";
    readonly offset: Offset;
    readonly code: RefusalCode;
    readonly reason: string;
  }
  | { readonly type: "repeated"; readonly offset: Offset };

/** Reason why a submitted record is settled without a verdict. */
export const UnsettledCode = {
  /** Too many records were waiting, so the record was not accepted. */
  Overflow: "LAGOON_APPEND_OVERFLOW",
  /** The fold gave no verdict within `SETTLE_WITHIN_MS`. */
  Timeout: "LAGOON_APPEND_TIMEOUT",
  /** A snapshot replaced the record in the fold, so its verdict is unknown. */
  Skipped: "LAGOON_APPEND_SKIPPED",
  /** The node is shutting down. */
  Closed: "LAGOON_APPEND_CLOSED",
} as const;
export type UnsettledCode = typeof UnsettledCode[keyof typeof UnsettledCode];

/** Outcome of a submitted record for its submitter. */
export type SubmitOutcome =
  | Verdict
  | {
    readonly type: "unsettled";
    readonly code: UnsettledCode;
    /** False if the record was never sent, so it can't reach the log. */
    readonly mayTakeEffect: boolean;
  };

/** Last record of a writer. Records up to its `seq` count as repeated. */
export interface WriterPosition {
  seq: number;
  lastOffset: Offset;
}

/** Removal of an entry, named when a later edit of the entry is refused. */
export interface Removal {
  readonly editor: string;
  readonly offset: Offset;
}

/** A snapshot of which the log holds only the first chunks. */
export interface IncompleteSnapshot {
  readonly through: Offset;
  /** Number of chunks found so far, in order. */
  readonly found: number;
}

/**
 * State folded from the log. Only `foldRecord` changes it; a decoded snapshot
 * replaces it.
 */
export interface ConfigState {
  /** Offset of the next record to fold. */
  next: Offset;
  /** Configuration version: offset of the last record that changed serving. */
  version: Offset;
  /** Offset of the last change to the list of customers. */
  customersAt: Offset;
  /** Chained SHA-256 over all folded records, in hexadecimal. */
  digest: string;
  /** Rows by customer. */
  customers: Map<string, CustomerRow>;
  /** Rows by `plan/service`. */
  uses: Map<string, UseRow>;
  /** Live and recently ended rollouts by id. */
  rollouts: Map<string, Rollout>;
  /** Withdrawn versions by `service@version`. */
  withdrawn: Map<string, WithdrawnVersion>;
  /** Newest removals by `list/key`, oldest first. */
  removals: Map<string, Removal>;
  /** Leases by name. */
  leases: Map<string, Lease>;
  /** Some live nodes of each failure domain, for nodes that join. */
  presence: Map<string, readonly NodeId[]>;
  /** Last record of each writer, by writer name. */
  writers: Map<string, WriterPosition>;
  /** Last offset included in the newest complete snapshot in the log. */
  snapshotThrough: Offset;
  /** Incomplete snapshots in the log by writer and hash, oldest first. */
  snapshotsBegun: Map<string, IncompleteSnapshot>;
  /** Audit trail, newest entry last, at most `MAX_AUDIT_ENTRIES`. */
  audit: AuditEntry[];
}
