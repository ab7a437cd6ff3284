/**
 * Folds one item of the `claims` stream. The first claim of a key holds it.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, Offset } from "../core/types.ts";
import type { ClaimItem, ClaimStreamItem } from "./messages.ts";
import type { ClaimsState, HeldClaim } from "./state.ts";

/** Released attempts remembered of one key. */
const maxReleased = 8;

/** Options of `foldClaim`. */
export interface FoldClaimOptions {
  readonly state: ClaimsState;
  readonly item: ClaimStreamItem;
  readonly offset: Offset;
  /** The reader's clock. No verdict on who may run depends on it. */
  readonly now: MonotonicMs;
}

/** Applies an item. Repeats of an item change nothing. */
export function foldClaim(opts: FoldClaimOptions) {
  const { state, item, offset } = opts;
  const known = state.held.get(item.key) ?? createFree();
  // A claim that lost keeps the key held too: a reader that started after
  // the holder's record was gone takes the loser for the holder, and both
  // readers must free the key at the same record.
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

function createFree(): HeldClaim {
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
    known.released = [...known.released, attempt].slice(-maxReleased);
  }
  // Readers that started later never saw a holder below the floor.
  const isSeenByAll = known.offset >= state.floor;
  const isHolder = known.attempt === attempt && known.outcomeAt === 0;
  if (isHolder && isSeenByAll) known.attempt = "";
}
