/**
 * Starts a call as a decision on an event, so that a trace can record and
 * replay it.
 * @module
 */
import {
  beginCall,
  type BeginCallOptions,
  type BeginResult,
} from "./begin_call.ts";
import type { QuarantineState } from "./state.ts";

/** The event and its keys are stored in recorded traces. */
export interface BeginEvent extends Omit<BeginCallOptions, "state"> {
  readonly type: "begin";
}

/** Returns the result of `beginCall` as the only effect. */
export function decideBegin(
  state: QuarantineState,
  event: BeginEvent,
): readonly [BeginResult] {
  const { endpoint, fingerprint, trial } = event;
  return [beginCall({ state, endpoint, fingerprint, trial })];
}
