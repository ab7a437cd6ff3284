/**
 * What the folded stream says of an attempt at a key.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { ClaimItem, ClaimVerdict } from "./messages.ts";
import type { ClaimsState, HeldClaim, ReaderEffect } from "./state.ts";

const liveGraceMs = 1_000;

/** The folded verdict on a claim, none while it may still win. */
export function judgeClaim(
  claims: ClaimsState,
  to: NodeId,
  claim: ClaimItem,
  now: MonotonicMs,
): ReaderEffect | undefined {
  const { attempt, key } = claim;
  const known = claims.held.get(key);
  if (known?.released.includes(attempt) === true) {
    return tellVerdict(to, attempt, {
      type: "away",
      reason: "it was released",
    });
  }
  if (known === undefined || known.attempt === "") return undefined;
  if (known.digest !== claim.digest) {
    return tellVerdict(to, attempt, { type: "mismatch" });
  }
  if (known.outcomeAt > 0) {
    return { type: "tell-outcome", to, attempt, key, offset: known.outcomeAt };
  }
  if (known.attempt === attempt) {
    return tellVerdict(to, attempt, { type: "won" });
  }
  return tellVerdict(to, attempt, { type: "held", isLive: isLive(known, now) });
}

function isLive(known: HeldClaim, now: MonotonicMs): boolean {
  return now < known.foldedAt + known.leftMs + liveGraceMs;
}

/** A verdict on its way to the node that asked. */
export function tellVerdict(
  to: NodeId,
  attempt: string,
  verdict: ClaimVerdict,
): ReaderEffect {
  return {
    type: "send",
    to,
    message: { type: "once/verdict", attempt, verdict },
  };
}
