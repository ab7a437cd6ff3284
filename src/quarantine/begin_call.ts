/**
 * Starts a call at an endpoint of this home node, the node on the endpoint's VM
 * and the only one that connects to it.
 * @module
 */
import type { EndpointId } from "../core/types.ts";
import { levelOf } from "./merge_row.ts";
import type { Fingerprint } from "./messages.ts";
import { type QuarantineState, SuspicionLevel } from "./state.ts";

/** Options of `beginCall`. */
export interface BeginCallOptions {
  readonly state: QuarantineState;
  readonly endpoint: EndpointId;
  readonly fingerprint: Fingerprint;
  /** Id of the granted isolated run, empty for a call that is not isolated. */
  readonly trial: string;
}

export type BeginResult =
  | { readonly type: "started"; readonly call: number }
  /**
   * The endpoint is reserved for an isolated run, or this isolated run has to
   * wait until the calls there have ended.
   */
  | { readonly type: "occupied" }
  /**
   * The request is quarantined, or is a suspect and the call has no isolated
   * run. Its level was raised after the call was checked.
   */
  | { readonly type: "suspected" };

/**
 * Starts the call, or returns why it can't start now. Called at the moment of
 * dispatch, so that nothing changes between the check and the start.
 */
export function beginCall(opts: BeginCallOptions): BeginResult {
  const { state, endpoint, fingerprint, trial } = opts;
  const level = levelOf(state, fingerprint);
  const mustBeIsolated = level === SuspicionLevel.Suspect && trial === "";
  if (mustBeIsolated || level === SuspicionLevel.Quarantined) {
    return { type: "suspected" };
  }
  const calls = state.endpoints.get(endpoint) ??
    { running: new Map(), reservedFor: "" };
  state.endpoints.set(endpoint, calls);
  const isFree = calls.reservedFor === "" || calls.reservedFor === trial;
  if (!isFree) return { type: "occupied" };
  // The reservation keeps other calls from starting. Otherwise a busy endpoint
  // might never become idle, and the isolated run would never start.
  calls.reservedFor = trial;
  if (trial !== "" && calls.running.size > 0) return { type: "occupied" };
  const call = state.nextId++;
  calls.running.set(call, { fingerprint, trial });
  return { type: "started", call };
}
