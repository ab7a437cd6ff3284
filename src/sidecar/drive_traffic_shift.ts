/**
 * Carries out the decisions on traffic shifts to new versions.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { decideTrafficShift } from "../traffic_shift/decide_traffic_shift.ts";
import type {
  TrafficShiftEffect,
  TrafficShiftEvent,
  TrafficShiftState,
} from "../traffic_shift/state.ts";
import type { GossipService } from "./create_gossip_service.ts";
import type { ShiftRecorder } from "./record_shifts.ts";

/** Options of `driveTrafficShift`. */
export interface DriveTrafficShiftOptions {
  readonly state: TrafficShiftState;
  readonly recorder: ShiftRecorder;
  readonly gossip: GossipService;
  readonly log: Log;
}

/** Applies an event to the state and carries out its effects. */
export function driveTrafficShift(
  opts: DriveTrafficShiftOptions,
  event: TrafficShiftEvent,
) {
  for (const effect of decideTrafficShift(opts.state, event)) run(opts, effect);
}

function run(opts: DriveTrafficShiftOptions, effect: TrafficShiftEffect) {
  const { recorder, gossip, log } = opts;
  switch (effect.type) {
    case "lease":
      return recorder.lease();
    case "record":
      log.write("move", LogLevel.Info, "traffic shift status decided", {
        ...effect.status,
        ...effect.runs,
      });
      return recorder.record(effect);
    case "send-step": {
      const { elapsed, ...step } = effect.step;
      log.write("move", LogLevel.Info, "traffic shift step decided", {
        ...step,
        elapsedMs: Math.round(elapsed.ms),
        ...effect.runs,
      });
      return gossip.broadcast({ type: "move-step", step: effect.step });
    }
    case "send-report":
      return gossip.sendToLeaders({
        type: "move-report",
        report: effect.report,
      });
    case "send-fault":
      log.write("move", LogLevel.Warn, "target version found faulty", {
        ...effect.fault,
      });
      return gossip.broadcast({ type: "move-fault", fault: effect.fault });
    default:
      exhausted(effect);
  }
}
