/**
 * State of the folded claims, of a claim reader (a node that reads the `claims`
 * stream) and of a node that sends claim requests to readers.
 * @module
 */
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";
import type {
  ClaimItem,
  ClaimStreamItem,
  ClaimVerdict,
  IdempotencyMessage,
  OutcomeItem,
  ReleaseItem,
  RunOutcome,
} from "./messages.ts";

/** The folded state of one key. */
export interface HeldClaim {
  /** Id of the attempt that holds the key, empty when no attempt does. */
  attempt: string;
  digest: string;
  /** Offset of the holder's claim. */
  offset: Offset;
  /** Offset of the key's newest item. The key is dropped with that record. */
  lastOffset: Offset;
  /** Offset of the record with the outcome, 0 when there is none. */
  outcomeAt: Offset;
  /**
   * When the claim was folded, by this reader's clock. Distinguishes a running
   * call from one whose outcome is unknown.
   */
  foldedAt: MonotonicMs;
  /** Milliseconds until the call's deadline when the claim was made. */
  leftMs: number;
  /** Attempts that released the key. A late claim of theirs is ignored. */
  released: readonly string[];
}

/** The folded stream. */
export interface ClaimsState {
  /** Offset of the next record to fold. */
  next: Offset;
  /**
   * Highest floor in a record, at most the offset of that record. Keys whose
   * newest item has a lower offset are dropped.
   */
  floor: Offset;
  /** Keys in the order of `lastOffset`. */
  readonly held: Map<string, HeldClaim>;
}

/** A claim that waits for its verdict. */
export interface WaitingClaim {
  readonly from: NodeId;
  readonly claim: ClaimItem;
  readonly since: MonotonicMs;
}

/** The end of an attempt that the reader has not yet read from the stream. */
export interface WaitingEnd {
  readonly from: NodeId;
  readonly item: OutcomeItem | ReleaseItem;
  readonly since: MonotonicMs;
}

export interface ClaimReaderState {
  readonly writer: string;
  readonly claims: ClaimsState;
  /**
   * True once the reader has read a batch that it wrote itself with a floor of
   * at least `startedFrom`. The reader has then read all earlier records that
   * still count.
   */
  isReady: boolean;
  /** Offset at which reading started. */
  startedFrom: Offset;
  /** Oldest offset that the log keeps, 0 before the first read. */
  oldest: Offset;
  /** Items to append. */
  pending: ClaimStreamItem[];
  /** Items of the append in progress, undefined when there is none. */
  sent: readonly ClaimStreamItem[] | undefined;
  sentAt: MonotonicMs;
  nextAppendAt: MonotonicMs;
  /** Number of failed appends in a row. */
  failures: number;
  /** Claims without a verdict, by attempt. */
  readonly waiting: Map<string, WaitingClaim>;
  /** Ends of attempts to confirm once recorded, by attempt. */
  readonly finishing: Map<string, WaitingEnd>;
}

/** The type values and keys are stored in recorded traces. */
export type ClaimReaderEvent =
  /** A node sent a claim or the end of an attempt. */
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: Extract<
      IdempotencyMessage,
      { type: "once/claim" | "once/finish" }
    >;
    readonly now: MonotonicMs;
  }
  /** Records of the stream were read. */
  | {
    readonly type: "read";
    readonly records: readonly ClaimRecord[];
    readonly oldest: Offset;
    readonly now: MonotonicMs;
  }
  /** The next records are past the log's retention. */
  | { readonly type: "gone"; readonly oldest: Offset }
  | { readonly type: "appended"; readonly now: MonotonicMs }
  | {
    readonly type: "append-failed";
    readonly now: MonotonicMs;
    /** Random number from 0 to 1, for jitter. */
    readonly random: number;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

/** A record of the stream as the log returns it. */
export interface ClaimRecord {
  readonly offset: Offset;
  readonly body: string;
}

/** The type values and keys are stored in recorded traces. */
export type ClaimReaderEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: IdempotencyMessage;
  }
  | { readonly type: "append"; readonly body: string }
  /** Read the outcome of a key from its record and send it to node `to`. */
  | {
    readonly type: "tell-outcome";
    readonly to: NodeId;
    readonly attempt: string;
    readonly key: string;
    readonly offset: Offset;
  };

/** Result of a claim request: whether the call may run. */
export type ClaimOutcome =
  /** The call runs as this attempt. */
  | { readonly type: "run"; readonly attempt: string }
  /** The key already has an outcome, which is sent as the answer. */
  | { readonly type: "repeat"; readonly outcome: RunOutcome }
  | {
    readonly type: "refused";
    readonly status: number;
    readonly code: `LAGOON_${string}`;
    readonly reason: string;
    /**
     * True when this request has not run, and no request with this key is known
     * to have run.
     */
    readonly isNotRun: boolean;
  };

/**
 * `Asking`: no verdict allows a run yet. `Running`: the claim has won.
 * `Finishing`: the end of the attempt is being recorded.
 */
export const AttemptStep = {
  Asking: "asking",
  Running: "running",
  Finishing: "finishing",
} as const;
export type AttemptStep = typeof AttemptStep[keyof typeof AttemptStep];

/** One request with an idempotency key, at the node that received it. */
export interface ClaimAttempt {
  readonly claim: ClaimItem;
  readonly deadlineAt: MonotonicMs;
  step: AttemptStep;
  /** Messages sent in this step. With `undecided`, selects the next reader. */
  sends: number;
  /** Verdicts received. */
  replies: number;
  /** Verdicts of readers that could not decide. */
  undecided: number;
  /** When the next message is due. */
  nextAt: MonotonicMs;
  lastVerdict: ClaimVerdict | undefined;
  end: OutcomeItem | ReleaseItem | undefined;
}

export interface ClaimRequestState {
  /** Id of this process start, the prefix of attempt ids. */
  readonly writer: string;
  nextSeq: number;
  /** Bytes of answers held until they are recorded in the log. */
  heldBytes: number;
  /** Attempts by their ids. */
  readonly attempts: Map<string, ClaimAttempt>;
}

/** The type values and keys are stored in recorded traces. */
export type ClaimRequestEvent =
  /** A call with an idempotency key arrived. */
  | {
    readonly type: "asked";
    readonly key: string;
    readonly digest: string;
    readonly deadlineAt: MonotonicMs;
    readonly readers: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "received";
    readonly message: Extract<
      IdempotencyMessage,
      { type: "once/verdict" | "once/finished" }
    >;
    readonly now: MonotonicMs;
  }
  /** The run ended. Without an outcome the call certainly did not run. */
  | {
    readonly type: "settled";
    readonly attempt: string;
    readonly outcome: RunOutcome | undefined;
    readonly readers: readonly NodeId[];
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "ticked";
    readonly readers: readonly NodeId[];
    readonly now: MonotonicMs;
  };

/** The type values and keys are stored in recorded traces. */
export type ClaimRequestEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: IdempotencyMessage;
  }
  | {
    readonly type: "resolve";
    readonly attempt: string;
    readonly outcome: ClaimOutcome;
  };
