/**
 * State of the folded claims, of a reader and of a node that asks readers.
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

/** What the stream says of one key. */
export interface HeldClaim {
  /** Attempt that holds the key, empty after a release. */
  attempt: string;
  digest: string;
  /** Offset of the holder's claim. */
  offset: Offset;
  /** Offset of the newest item of the key. It is forgotten with that one. */
  lastOffset: Offset;
  /** Record that holds the outcome, 0 when there is none. */
  outcomeAt: Offset;
  /** This reader's clock, to tell a running call from an unknown one. */
  foldedAt: MonotonicMs;
  leftMs: number;
  /** Attempts that gave the key up, which a late claim must not revive. */
  released: readonly string[];
}

/** The folded stream. */
export interface ClaimsState {
  next: Offset;
  /** Highest floor recorded. Keys last named below it are forgotten. */
  floor: Offset;
  /** In order of `lastOffset`. */
  readonly held: Map<string, HeldClaim>;
}

/** A claim that waits for its verdict. */
export interface WaitingClaim {
  readonly from: NodeId;
  readonly claim: ClaimItem;
  readonly since: MonotonicMs;
}

/** The end of an attempt that waits to be seen in the stream. */
export interface WaitingEnd {
  readonly from: NodeId;
  readonly item: OutcomeItem | ReleaseItem;
  readonly since: MonotonicMs;
}

export interface ClaimReaderState {
  readonly writer: string;
  readonly claims: ClaimsState;
  /** True once a batch of its own shows that it read through to the end. */
  isReady: boolean;
  /** Offset that reading started from. */
  startedFrom: Offset;
  /** Oldest offset that the log keeps, 0 before the first read. */
  oldest: Offset;
  pending: ClaimStreamItem[];
  /** Items of the batch on its way, undefined when none is. */
  sent: readonly ClaimStreamItem[] | undefined;
  sentAt: MonotonicMs;
  nextAppendAt: MonotonicMs;
  failures: number;
  /** By attempt. */
  readonly waiting: Map<string, WaitingClaim>;
  /** Nodes to tell that an attempt's end is recorded. */
  readonly finishing: Map<string, WaitingEnd>;
}

export type ClaimReaderEvent =
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: Extract<
      IdempotencyMessage,
      { type: "once/claim" | "once/finish" }
    >;
    readonly now: MonotonicMs;
  }
  | {
    readonly type: "read";
    readonly records: readonly ClaimRecord[];
    readonly oldest: Offset;
    readonly now: MonotonicMs;
  }
  /** The records wanted are past retention. */
  | { readonly type: "gone"; readonly oldest: Offset }
  | { readonly type: "appended"; readonly now: MonotonicMs }
  | {
    readonly type: "append-failed";
    readonly now: MonotonicMs;
    /** Random number from 0 to 1, for jitter. */
    readonly random: number;
  }
  | { readonly type: "ticked"; readonly now: MonotonicMs };

/** A record as the log returns it. */
export interface ClaimRecord {
  readonly offset: Offset;
  readonly body: string;
}

export type ClaimReaderEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: IdempotencyMessage;
  }
  | { readonly type: "append"; readonly body: string }
  /** Read the outcome of a key from its record, then tell the asker. */
  | {
    readonly type: "tell-outcome";
    readonly to: NodeId;
    readonly attempt: string;
    readonly key: string;
    readonly offset: Offset;
  };

/** What a call with an idempotency key may do. */
export type ClaimOutcome =
  | { readonly type: "run"; readonly attempt: string }
  | { readonly type: "repeat"; readonly outcome: RunOutcome }
  | {
    readonly type: "refused";
    readonly status: number;
    readonly code: `LAGOON_${string}`;
    readonly reason: string;
    /** True when neither this request nor an earlier one is known to run. */
    readonly isNotRun: boolean;
  };

export const AttemptStep = {
  Asking: "asking",
  Running: "running",
  Finishing: "finishing",
} as const;
export type AttemptStep = typeof AttemptStep[keyof typeof AttemptStep];

/** One request with a key at the node that took it. */
export interface ClaimAttempt {
  readonly claim: ClaimItem;
  readonly deadlineAt: MonotonicMs;
  step: AttemptStep;
  /** Messages sent to readers. Turns between the readers. */
  sends: number;
  replies: number;
  aways: number;
  nextAt: MonotonicMs;
  lastVerdict: ClaimVerdict | undefined;
  end: OutcomeItem | ReleaseItem | undefined;
}

export interface ClaimRequestState {
  readonly writer: string;
  nextSeq: number;
  /** Bytes of answers held until their records are in the log. */
  heldBytes: number;
  /** By attempt. */
  readonly attempts: Map<string, ClaimAttempt>;
}

export type ClaimRequestEvent =
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
  /** The run ended. No outcome means that it truly did not run. */
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
