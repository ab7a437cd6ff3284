/**
 * Carries out what is decided of moves to new versions.
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

/** Takes an event and carries out its effects. */
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
      log.write("move", LogLevel.Info, "status decided", {
        ...effect.status,
        ...effect.runs,
      });
      return recorder.record(effect);
    case "tell": {
      const { elapsed, ...step } = effect.step;
      log.write("move", LogLevel.Info, "move step", {
        ...step,
        elapsedMs: Math.round(elapsed.ms),
        ...effect.runs,
      });
      return gossip.tellAll({ type: "move-step", step: effect.step });
    }
    case "report":
      return gossip.tellNearAndLeaders({
        type: "move-report",
        report: effect.report,
      });
    case "faulty":
      log.write("move", LogLevel.Warn, "version is faulty", {
        ...effect.fault,
      });
      return gossip.tellAll({ type: "move-fault", fault: effect.fault });
    default:
      exhausted(effect);
  }
}
