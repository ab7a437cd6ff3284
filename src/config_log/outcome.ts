/**
 * What folding a record's body came to.
 * @module
 */
import type { RefusalCode } from "./state.ts";

export type Outcome =
  | { readonly type: "accepted"; readonly changesServing: boolean }
  | {
    readonly type: "refused";
    readonly code: RefusalCode;
    readonly reason: string;
  };

/** An accepted record. `changesServing` makes its offset the new version. */
export function accepted(changesServing: boolean): Outcome {
  return { type: "accepted", changesServing };
}

/** A refused record, with a sentence for the operator. */
export function refused(code: RefusalCode, reason: string): Outcome {
  return { type: "refused", code, reason };
}
