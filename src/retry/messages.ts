/**
 * How one attempt of a call ended.
 * @module
 */

export type CallEnd =
  /** The whole answer was passed to the caller. */
  | {
    readonly type: "answered";
    readonly status: number;
    readonly load: number;
  }
  /** Refused before dispatch. Nothing was passed to the caller. */
  | {
    readonly type: "not-run";
    readonly code: `LAGOON_${string}`;
    readonly reason: string;
    readonly status: number;
  }
  /** Dispatched without a known outcome. Nothing was passed to the caller. */
  | {
    readonly type: "unknown";
    readonly reason: string;
    /** True when the deadline ended it. */
    readonly isLate: boolean;
  }
  /** Broke after the answer's head. The caller's connection is destroyed. */
  | { readonly type: "cut"; readonly reason: string }
  /** The caller left. */
  | { readonly type: "cancelled" }
  /** Given up here for another home. */
  | { readonly type: "given-up" };
