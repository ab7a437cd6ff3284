/**
 * Starts a call at an endpoint of this home.
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
  /** Granted trial, empty when the call is no suspect. */
  readonly trial: string;
}

export type BeginResult =
  | { readonly type: "started"; readonly call: number }
  /** A trial runs or waits there, or the trial waits for calls to end. */
  | { readonly type: "occupied" }
  /** The request became a suspect since it was checked. */
  | { readonly type: "suspected" };

/** Decides at once, at the moment of dispatch. */
export function beginCall(opts: BeginCallOptions): BeginResult {
  const { state, endpoint, fingerprint, trial } = opts;
  const level = levelOf(state, fingerprint);
  const needsTrial = level === SuspicionLevel.Suspect && trial === "";
  if (needsTrial || level === SuspicionLevel.Quarantined) {
    return { type: "suspected" };
  }
  const calls = state.endpoints.get(endpoint) ??
    { running: new Map(), reservedFor: "" };
  state.endpoints.set(endpoint, calls);
  const isFree = calls.reservedFor === "" || calls.reservedFor === trial;
  if (!isFree) return { type: "occupied" };
  // A busy endpoint would never be empty by chance.
  calls.reservedFor = trial;
  if (trial !== "" && calls.running.size > 0) return { type: "occupied" };
  const call = state.nextId++;
  calls.running.set(call, { fingerprint, trial });
  return { type: "started", call };
}
