/**
 * Finds the verdict on an attempt in the folded `claims` stream.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { ClaimItem, ClaimVerdict } from "./messages.ts";
import type { ClaimReaderEffect, ClaimsState, HeldClaim } from "./state.ts";

/**
 * Time after a call's deadline until which its run counts as alive. Afterwards
 * the outcome is unknown.
 */
const LIVE_GRACE_MS = 1_000;

/**
 * Returns the effect that sends the verdict on a claim, undefined while the
 * claim may still win.
 */
export function findVerdict(
  claims: ClaimsState,
  to: NodeId,
  claim: ClaimItem,
  now: MonotonicMs,
): ClaimReaderEffect | undefined {
  const { attempt, key } = claim;
  const known = claims.held.get(key);
  if (known?.released.includes(attempt) === true) {
    return createVerdictEffect(to, attempt, {
      type: "away",
      reason: "it was released",
    });
  }
  if (known === undefined || known.attempt === "") return undefined;
  if (known.digest !== claim.digest) {
    return createVerdictEffect(to, attempt, { type: "mismatch" });
  }
  if (known.outcomeAt > 0) {
    return { type: "tell-outcome", to, attempt, key, offset: known.outcomeAt };
  }
  if (known.attempt === attempt) {
    return createVerdictEffect(to, attempt, { type: "won" });
  }
  return createVerdictEffect(to, attempt, {
    type: "held",
    isLive: isLive(known, now),
  });
}

function isLive(known: HeldClaim, now: MonotonicMs): boolean {
  return now < known.foldedAt + known.leftMs + LIVE_GRACE_MS;
}

/** Creates the effect that sends a verdict to the node that sent the claim. */
export function createVerdictEffect(
  to: NodeId,
  attempt: string,
  verdict: ClaimVerdict,
): ClaimReaderEffect {
  return {
    type: "send",
    to,
    message: { type: "once/verdict", attempt, verdict },
  };
}
