/**
 * Calls, and the attempts to have them run.
 * @module
 */
import type { NodeId } from "../core/types.ts";

/** Header names and values by turns, as they came. */
export type HeaderList = readonly string[];

/** One call as it is offered to a home. Times are relative: clocks differ. */
export interface OfferedCall {
  /** Id that the caller gave, unchanged. */
  readonly id: string;
  readonly method: string;
  /** Request target: path and query, unchanged. */
  readonly target: string;
  /** End-to-end headers without those that the product sets itself. */
  readonly headers: HeaderList;
  readonly service: string;
  readonly version: string;
  readonly route: string;
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Made by a running call. */
  readonly isNested: boolean;
  /** Service beside which the call began. */
  readonly callerService: string;
  /** Time until the caller gives up, in milliseconds. */
  readonly leftMs: number;
  /** Time until the end of the latency objective. Negative once it is over. */
  readonly objectiveLeftMs: number;
  /** An answer past the objective is welcome. */
  readonly mayBeLate: boolean;
  /** Whole body, or undefined when it follows after the admission. */
  readonly body: Buffer | undefined;
  /** Length of a body that follows, or undefined when it is chunked. */
  readonly bodyBytes: number | undefined;
}

/** Lowest status with which an endpoint says that it failed. */
export const LOWEST_SERVER_ERROR = 500;

/** Head of an endpoint's answer. */
export interface AnswerHead {
  readonly status: number;
  readonly headers: HeaderList;
}

export const RefusedBy = {
  /** The home's queue. The endpoint got nothing. */
  Home: "home",
  /** The endpoint said that it did not run the call. */
  Endpoint: "endpoint",
  /** The home was not reached. */
  Link: "link",
} as const;
export type RefusedBy = typeof RefusedBy[keyof typeof RefusedBy];

/** The call has not run and will not run through this attempt. */
export interface Refusal {
  readonly by: RefusedBy;
  readonly reason: string;
  /** Time until room is expected there, in milliseconds. */
  readonly waitMs: number;
}

/** The call may have run, and no answer will come. */
export interface Failure {
  readonly reason: string;
  /** The deadline passed while the call ran. */
  readonly isTimeout: boolean;
}

/** What one attempt tells. Exactly one of refused, failed, ended comes last. */
export type AttemptEvent =
  /** A body that follows may be sent: it is awaited, or has a slot already. */
  | { readonly type: "admitted" }
  /** The call runs much longer than usual. */
  | { readonly type: "overdue" }
  | { readonly type: "refused"; readonly refusal: Refusal }
  | { readonly type: "failed"; readonly failure: Failure }
  | {
    readonly type: "answered";
    readonly head: AnswerHead;
    /** Whole body, or undefined when it follows in chunks. */
    readonly body: Buffer | undefined;
  }
  | { readonly type: "chunk"; readonly chunk: Buffer }
  | { readonly type: "ended" };

/** An attempt in flight. */
export interface Attempt {
  /** Sends a part of the body after the admission. */
  send(chunk: Buffer): void;
  finish(): void;
  /** Ends the attempt without any further event. */
  cancel(): void;
}

/** Takes calls for one endpoint, here or on another node. */
export interface Home {
  attempt(call: OfferedCall, onEvent: (event: AttemptEvent) => void): Attempt;
}

/** Where calls are offered. */
export interface Homes {
  homeOf(node: NodeId): Home | undefined;
}
