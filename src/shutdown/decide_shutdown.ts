/**
 * Moves a shutdown through its phases.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import {
  type ShutdownEffect,
  type ShutdownEvent,
  ShutdownPhase,
  type ShutdownState,
} from "./state.ts";

/** Time for the sockets to send the last answers, in milliseconds. */
const FLUSH_MS = 150;

/** Handles one tick. The shutdown is complete in the phase `Over`. */
export function decideShutdown(
  state: ShutdownState,
  event: ShutdownEvent,
): readonly ShutdownEffect[] {
  const { now, isBusy } = event;
  const { withdrawAt, mayEndAt, endAt } = state.times;
  switch (state.phase) {
    case ShutdownPhase.Serving:
      if (now < withdrawAt) return [];
      state.phase = ShutdownPhase.Withdrawn;
      return [{ type: "withdraw" }];
    case ShutdownPhase.Withdrawn:
      if (now < mayEndAt || (isBusy && now < endAt)) return [];
      state.phase = ShutdownPhase.Finishing;
      state.idleSince = isBusy ? undefined : now;
      return [{ type: "refuse-remaining" }];
    case ShutdownPhase.Finishing:
      state.idleSince = isBusy ? undefined : state.idleSince ?? now;
      if (
        now - (state.idleSince ?? now) >= FLUSH_MS || now >= endAt + FLUSH_MS
      ) {
        state.phase = ShutdownPhase.Over;
      }
      return [];
    case ShutdownPhase.Over:
      return [];
    default:
      return exhausted(state.phase);
  }
}
