/**
 * Starting a call as a decision, so that a trace can hold and repeat it.
 * @module
 */
import {
  beginCall,
  type BeginCallOptions,
  type BeginResult,
} from "./begin_call.ts";
import type { QuarantineState } from "./state.ts";

export interface BeginEvent extends Omit<BeginCallOptions, "state"> {
  readonly type: "begin";
}

/** Returns the one result of `beginCall`. */
export function decideBegin(
  state: QuarantineState,
  event: BeginEvent,
): readonly [BeginResult] {
  const { endpoint, fingerprint, trial } = event;
  return [beginCall({ state, endpoint, fingerprint, trial })];
}
