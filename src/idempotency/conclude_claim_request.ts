/**
 * Derives the outcome of a claim request that did not run its call from the
 * last verdict.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { ClaimVerdict } from "./messages.ts";
import type { ClaimOutcome } from "./state.ts";

const STATUS_CONFLICT = 409;
const STATUS_UNPROCESSABLE = 422;
const STATUS_UNAVAILABLE = 503;

/**
 * Returns the outcome of a claim request that did not run its call, from its
 * last verdict. Without a verdict, the call is refused with `reason`.
 */
export function concludeClaimRequest(
  verdict: ClaimVerdict | undefined,
  reason: string,
): ClaimOutcome {
  if (verdict === undefined) return refuseNotRun(reason);
  switch (verdict.type) {
    case "done":
      if (verdict.outcome.type === "unknown") return refuseUnknown();
      return { type: "repeat", outcome: verdict.outcome };
    case "held":
      return verdict.isLive ? refuseInProgress() : refuseUnknown();
    case "mismatch":
      return {
        type: "refused",
        status: STATUS_UNPROCESSABLE,
        code: "LAGOON_ONCE_MISMATCH",
        reason: "the idempotency key was used for another request",
        isNotRun: true,
      };
    case "away":
      return refuseNotRun(verdict.reason);
    case "won":
      return refuseNotRun("the deadline passed before the claim was seen");
    default:
      return exhausted(verdict);
  }
}

function refuseNotRun(reason: string): ClaimOutcome {
  return {
    type: "refused",
    status: STATUS_UNAVAILABLE,
    code: "LAGOON_ONCE_AWAY",
    reason,
    isNotRun: true,
  };
}

function refuseInProgress(): ClaimOutcome {
  return {
    type: "refused",
    status: STATUS_CONFLICT,
    code: "LAGOON_ONCE_IN_PROGRESS",
    reason: "an earlier request with this key is still running",
    isNotRun: false,
  };
}

function refuseUnknown(): ClaimOutcome {
  return {
    type: "refused",
    status: STATUS_CONFLICT,
    code: "LAGOON_ONCE_UNKNOWN",
    reason: "an earlier request with this key ran or may have run; its " +
      "outcome is unknown and it will not run again",
    isNotRun: false,
  };
}
