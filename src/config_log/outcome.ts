/**
 * Outcome of folding the body of one record.
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

/**
 * Creates the outcome of an accepted record. With `changesServing` the record's
 * offset becomes the new configuration version.
 */
export function accepted(changesServing: boolean): Outcome {
  return { type: "accepted", changesServing };
}

/** Creates the outcome of a refused record. `reason` is for the operator. */
export function refused(code: RefusalCode, reason: string): Outcome {
  return { type: "refused", code, reason };
}
