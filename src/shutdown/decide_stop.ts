/**
 * Decides what a stopping node does next.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import {
  type StopEffect,
  type StopEvent,
  StopPhase,
  type StopState,
} from "./state.ts";

/** Time for the last answers to leave their sockets, in milliseconds. */
const flushMs = 150;

/** Takes one look. The stop goes on until its phase is `Over`. */
export function decideStop(
  stop: StopState,
  event: StopEvent,
): readonly StopEffect[] {
  const { now, isBusy } = event;
  const { withdrawAt, calmAt, endAt } = stop.times;
  switch (stop.phase) {
    case StopPhase.Serving:
      if (now < withdrawAt) return [];
      stop.phase = StopPhase.Withdrawn;
      return [{ type: "withdraw" }];
    case StopPhase.Withdrawn:
      if (now < calmAt || (isBusy && now < endAt)) return [];
      stop.phase = StopPhase.Finishing;
      stop.idleSince = isBusy ? undefined : now;
      return [{ type: "refuse-rest" }];
    case StopPhase.Finishing:
      stop.idleSince = isBusy ? undefined : stop.idleSince ?? now;
      if (now - (stop.idleSince ?? now) >= flushMs || now >= endAt + flushMs) {
        stop.phase = StopPhase.Over;
      }
      return [];
    case StopPhase.Over:
      return [];
    default:
      return exhausted(stop.phase);
  }
}
