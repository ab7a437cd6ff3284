/**
 * The result of one attempt of a call.
 * @module
 */

export type CallEnd =
  /** The complete answer was forwarded to the caller. */
  | {
    readonly type: "answered";
    readonly status: number;
    /** Load of the home node: calls in flight per slot. */
    readonly load: number;
  }
  /**
   * Refused before it reached an endpoint. Nothing was forwarded to the
   * caller.
   */
  | {
    readonly type: "not-run";
    readonly code: `LAGOON_${string}`;
    readonly reason: string;
    readonly status: number;
  }
  /**
   * Sent to an endpoint, but the outcome is unknown. Nothing was forwarded to
   * the caller.
   */
  | {
    readonly type: "unknown";
    readonly reason: string;
    /** True when the attempt ended because the deadline passed. */
    readonly isLate: boolean;
  }
  /**
   * The answer broke off after its headers were forwarded. The caller's
   * connection is destroyed.
   */
  | { readonly type: "cut"; readonly reason: string }
  /** The caller disconnected. */
  | { readonly type: "cancelled" }
  /** This node abandoned the attempt and retried at another home node. */
  | { readonly type: "given-up" };
