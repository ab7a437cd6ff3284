/**
 * Calls and the attempts to run them. A call goes to home nodes: a home node is
 * the node on an endpoint's VM, which alone opens connections to the endpoint.
 * @module
 */
import type { CallAccount } from "../accounts/state.ts";
import type { NodeId } from "../core/types.ts";

/**
 * Bytes of answers that a node holds because callers or other nodes have not
 * read them yet. Above it, the node aborts answers that continue: a faulty
 * endpoint may send without end.
 */
export const MAX_UNSENT_ANSWER_BYTES = 33_554_432;

/** Header names, each followed by its value, as received. */
export type HeaderList = readonly string[];

/**
 * A call as sent to a home node, which may refuse it. Times are relative, since
 * the clocks of nodes differ.
 */
export interface OfferedCall {
  /** Request id from the caller, unchanged. */
  readonly id: string;
  readonly method: string;
  /** Request target: path and query, unchanged. */
  readonly target: string;
  /** End-to-end headers, without those that nodes set. */
  readonly headers: HeaderList;
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Whether this call was made by a running call. */
  readonly isNested: boolean;
  /** Service on the VM from which the call was made. */
  readonly callerService: string;
  /** Time until the caller's deadline, in milliseconds. */
  readonly leftMs: number;
  /**
   * Time until the latency objective, in milliseconds. Negative once past it.
   */
  readonly objectiveLeftMs: number;
  /** Whether an answer past the latency objective is accepted. */
  readonly mayBeLate: boolean;
  /** Complete body, or undefined when it follows after the admission. */
  readonly body: Buffer | undefined;
  /** Length of a body that follows, or undefined when it is chunked. */
  readonly bodyBytes: number | undefined;
  /**
   * Number of endpoints that crashed one after the other while they ran this
   * request, as far as the sender knows.
   */
  readonly crashes: number;
  /** Client account of the call. Undefined for calls without an API key. */
  readonly account?: CallAccount | undefined;
  /**
   * Time that the caller waits in all, as a multiple of the latency objective.
   * `leftMs` can't tell it: the route's timeout limits it, and a retry has less
   * of it left. A nested call has the ratio of its parent call. Undefined if it
   * is not known.
   */
  readonly deadlineRatio?: number | undefined;
  /**
   * Whether an earlier attempt of this call was sent to another home node. Not
   * sent over links.
   */
  readonly isRetry?: boolean | undefined;
  /** How long the parent of a nested call has run, in milliseconds. */
  readonly parentUsedMs?: number | undefined;
}

/** Lowest HTTP status that counts as a failure of the endpoint. */
export const LOWEST_SERVER_ERROR = 500;

/** Status and headers of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
}

export const RefusedBy = {
  /** The queue of the home node. The endpoint received nothing. */
  Home: "home",
  /** The endpoint, which answered that it did not run the call. */
  Endpoint: "endpoint",
  /** The link: the home node was not reached. */
  Link: "link",
} as const;
export type RefusedBy = typeof RefusedBy[keyof typeof RefusedBy];

/** The call has not run and will not run through this attempt. */
export interface Refusal {
  readonly by: RefusedBy;
  readonly reason: string;
  /**
   * Estimated time until the home node has a free slot, in milliseconds; 0 if
   * unknown.
   */
  readonly waitMs: number;
}

/** The call may have run, and no answer will come. */
export interface Failure {
  readonly reason: string;
  /** Whether the deadline passed while the call ran. */
  readonly isTimeout: boolean;
  /**
   * Number of endpoints that crashed one after the other while they ran this
   * request, with the one of this attempt. 0 if its endpoint has not crashed.
   */
  readonly crashes: number;
}

/**
 * Events of one attempt. The last one is `refused`, `failed`, `ended`, or an
 * `answered` with a complete body.
 */
export type AttemptEvent =
  /** The body may be sent: the home waits for it, or the call has a slot. */
  | { readonly type: "admitted" }
  /** The call has run much longer than calls of its route usually do. */
  | { readonly type: "overdue" }
  | { readonly type: "refused"; readonly refusal: Refusal }
  | { readonly type: "failed"; readonly failure: Failure }
  | {
    readonly type: "answered";
    readonly head: AnswerHead;
    /** Complete body, or undefined when it follows in chunks. */
    readonly body: Buffer | undefined;
  }
  | { readonly type: "chunk"; readonly chunk: Buffer }
  | { readonly type: "ended" };

/** An attempt in flight. */
export interface Attempt {
  /** Sends a part of the body. Allowed after the admission. */
  send(chunk: Buffer): void;
  /** Ends the body. */
  finish(): void;
  /**
   * States that an answer is of use only within `leftMs`, as the sender ends
   * then. The home node refuses the call, as not run, if it has not started and
   * is not expected to be answered in that time. A call that runs goes on.
   */
  limitAnswer(leftMs: number): void;
  /** Ends the attempt without any further event. */
  cancel(): void;
}

/** Accepts calls for one endpoint, on this or another node. */
export interface Home {
  attempt(call: OfferedCall, onEvent: (event: AttemptEvent) => void): Attempt;
}

/** Home nodes that calls can be sent to. */
export interface Homes {
  homeOf(node: NodeId): Home | undefined;
}
