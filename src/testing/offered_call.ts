/**
 * A call as it is sent to a home node (the node on the endpoint's VM), which
 * may refuse it.
 * @module
 */
import { Buffer } from "node:buffer";
import type { OfferedCall } from "../calls/state.ts";

/** Builds a call without a body. `change` replaces some of its fields. */
export function offeredCall(change: Partial<OfferedCall> = {}): OfferedCall {
  return {
    id: "r-1",
    method: "GET",
    target: "/a",
    headers: ["host", "shop.example", "call-id", "r-1"],
    service: "one",
    version: "v1",
    route: "a",
    urgency: 1,
    isNested: false,
    callerService: "two",
    leftMs: 5_000,
    objectiveLeftMs: 5_000,
    mayBeLate: false,
    body: Buffer.alloc(0),
    bodyBytes: undefined,
    crashes: 0,
    account: undefined,
    parentUsedMs: undefined,
    deadlineRatio: undefined,
    ...change,
  };
}
