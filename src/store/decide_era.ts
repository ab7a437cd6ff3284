/**
 * Decides what an answer of the store is worth by the era that it states.
 * @module
 */

/** Highest era that an answer has stated; 0 while none has. */
export interface EraState {
  era: number;
}

export type EraVerdict =
  | { readonly type: "current" }
  /** The store was restored from a copy since the last answer. */
  | { readonly type: "risen"; readonly before: number }
  /** The answer was given before the store was restored. */
  | { readonly type: "stale" };

/** Records the era of an answer. Undefined if the answer states none. */
export function decideEra(
  state: EraState,
  era: number | undefined,
): EraVerdict {
  if (era === undefined || era === state.era) return { type: "current" };
  if (era < state.era) return { type: "stale" };
  const before = state.era;
  state.era = era;
  // The first era that a node sees is no sign of a restored store.
  return before === 0 ? { type: "current" } : { type: "risen", before };
}
