/**
 * Folds one item of the `claims` stream into the state. The first claim of a
 * key holds it.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, Offset } from "../core/types.ts";
import type { ClaimItem, ClaimStreamItem } from "./messages.ts";
import type { ClaimsState, HeldClaim } from "./state.ts";

/** Limit on the released attempts stored per key. The oldest are dropped. */
const MAX_RELEASED_ATTEMPTS = 8;

/** Options of `foldClaim`. */
export interface FoldClaimOptions {
  readonly state: ClaimsState;
  readonly item: ClaimStreamItem;
  readonly offset: Offset;
  /** The reader's clock. Which attempt may run does not depend on it. */
  readonly now: MonotonicMs;
}

/**
 * Applies an item. A repeated item changes nothing except that its key is held
 * longer.
 */
export function foldClaim(opts: FoldClaimOptions) {
  const { state, item, offset } = opts;
  const known = state.held.get(item.key) ?? createUnheldClaim();
  // A losing claim also extends how long the key is held. A reader that started
  // after the holder's record had been removed from the log sees the loser as
  // the holder, and both readers must drop the key at the same record.
  known.lastOffset = offset;
  state.held.delete(item.key);
  state.held.set(item.key, known);
  switch (item.type) {
    case "claim":
      return hold(known, item, opts);
    case "outcome":
      if (known.attempt === item.attempt && known.outcomeAt === 0) {
        known.outcomeAt = offset;
      }
      return;
    case "release":
      return release(state, known, item.attempt);
    default:
      exhausted(item);
  }
}

function createUnheldClaim(): HeldClaim {
  return {
    attempt: "",
    digest: "",
    offset: 0,
    lastOffset: 0,
    outcomeAt: 0,
    foldedAt: 0,
    leftMs: 0,
    released: [],
  };
}

function hold(known: HeldClaim, item: ClaimItem, opts: FoldClaimOptions) {
  if (known.attempt !== "" || known.released.includes(item.attempt)) return;
  known.attempt = item.attempt;
  known.digest = item.digest;
  known.offset = opts.offset;
  known.outcomeAt = 0;
  known.foldedAt = opts.now;
  known.leftMs = item.leftMs;
}

function release(state: ClaimsState, known: HeldClaim, attempt: string) {
  if (!known.released.includes(attempt)) {
    known.released = [...known.released, attempt].slice(-MAX_RELEASED_ATTEMPTS);
  }
  // A holder below the floor was never seen by readers that started later, so
  // its release must not free the key.
  const isSeenByAll = known.offset >= state.floor;
  const isHolder = known.attempt === attempt && known.outcomeAt === 0;
  if (isHolder && isSeenByAll) known.attempt = "";
}
