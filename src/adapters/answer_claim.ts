/**
 * Answers calls with an idempotency key that must not run now.
 * @module
 */
import type { ServerResponse } from "node:http";
import { exhausted } from "../core/exhausted.ts";
import type { RunOutcome } from "../idempotency/messages.ts";
import type { ClaimOutcome } from "../idempotency/state.ts";
import { REASON_HEADER } from "../routing/headers.ts";
import { refuseNotRun } from "./calls.ts";

/** Set to `true` on an answer that was recorded for an earlier request. */
export const REPLAYED_HEADER = "lagoon-replayed";

/** Set to `dropped` when the recorded answer was too large to keep. */
export const REPLAYED_BODY_HEADER = "lagoon-replayed-body";

/** Replays the recorded answer or refuses the call. */
export function answerClaim(
  claim: Exclude<ClaimOutcome, { type: "run" }>,
  res: ServerResponse,
): void {
  switch (claim.type) {
    case "repeat":
      return replay(claim.outcome, res);
    case "refused":
      if (claim.isNotRun) {
        return refuseNotRun(res, claim.code, claim.reason, claim.status);
      }
      res.writeHead(claim.status, {
        "content-type": "text/plain",
        [REASON_HEADER]: claim.code,
        ...(claim.code === "LAGOON_ONCE_IN_PROGRESS"
          ? { "retry-after": "1" }
          : {}),
      });
      res.end(`${claim.reason}\n`);
      return;
    default:
      exhausted(claim);
  }
}

function replay(outcome: RunOutcome, res: ServerResponse) {
  // Unknown outcomes are refused earlier. Without a recorded answer the
  // connection is destroyed, so that the caller sees no complete answer.
  if (outcome.type === "unknown") {
    res.destroy();
    return;
  }
  const isDropped = outcome.body === undefined;
  res.writeHead(outcome.status, {
    ...outcome.headers,
    [REPLAYED_HEADER]: "true",
    ...(isDropped ? { [REPLAYED_BODY_HEADER]: "dropped" } : {}),
  });
  res.end(isDropped ? undefined : Buffer.from(outcome.body, "base64"));
}
