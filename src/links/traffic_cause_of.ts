/**
 * Cause of the bytes that a message takes, for metrics.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { TrafficCause } from "../metrics/create_work_meter.ts";
import type { LinkMessage } from "./messages.ts";

/** Returns the cause. `isRetry`: the message is about a call's later attempt. */
export function trafficCauseOf(
  message: LinkMessage,
  isRetry: boolean,
): TrafficCause {
  switch (message.type) {
    case "offer":
    case "body":
    case "body-end":
    case "cancel":
    case "limit-answer":
      return isRetry ? TrafficCause.Retries : TrafficCause.Calls;
    case "event":
      return TrafficCause.Answers;
    case "hello":
    case "ping":
    case "pong":
    case "rows":
    case "lost":
    case "digest":
    case "beats":
    case "recall":
    case "ask-rows":
      return TrafficCause.Fleet;
    case "ask-operator":
    case "operator":
      return TrafficCause.Configuration;
    case "allowance/join":
    case "allowance/beat":
    case "allowance/lease":
    case "allowance/ask":
    case "allowance/grant":
      return TrafficCause.Quotas;
    case "move-step":
    case "move-report":
    case "move-fault":
    case "quarantine/rows":
      return TrafficCause.Other;
    default:
      return exhausted(message);
  }
}
