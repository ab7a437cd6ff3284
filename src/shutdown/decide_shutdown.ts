/**
 * Decides what a stopping node does next.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import {
  type ShutdownEffect,
  type ShutdownEvent,
  ShutdownPhase,
  type ShutdownState,
} from "./state.ts";

/** Time for the last answers to leave their sockets, in milliseconds. */
const flushMs = 150;

/** Takes one look. The stop goes on until its phase is `Over`. */
export function decideShutdown(
  stop: ShutdownState,
  event: ShutdownEvent,
): readonly ShutdownEffect[] {
  const { now, isBusy } = event;
  const { withdrawAt, calmAt, endAt } = stop.times;
  switch (stop.phase) {
    case ShutdownPhase.Serving:
      if (now < withdrawAt) return [];
      stop.phase = ShutdownPhase.Withdrawn;
      return [{ type: "withdraw" }];
    case ShutdownPhase.Withdrawn:
      if (now < calmAt || (isBusy && now < endAt)) return [];
      stop.phase = ShutdownPhase.Finishing;
      stop.idleSince = isBusy ? undefined : now;
      return [{ type: "refuse-rest" }];
    case ShutdownPhase.Finishing:
      stop.idleSince = isBusy ? undefined : stop.idleSince ?? now;
      if (now - (stop.idleSince ?? now) >= flushMs || now >= endAt + flushMs) {
        stop.phase = ShutdownPhase.Over;
      }
      return [];
    case ShutdownPhase.Over:
      return [];
    default:
      return exhausted(stop.phase);
  }
}
