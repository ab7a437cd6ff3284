/**
 * Simulates traffic shifts of one service with the decisions of
 * `src/traffic_shift`.
 * @module
 */
import assert from "node:assert/strict";
import { chooseVersions } from "../traffic_shift/choose_version.ts";
import { countRun } from "../traffic_shift/count_run.ts";
import { decideTrafficShift } from "../traffic_shift/decide_traffic_shift.ts";
import {
  createTrafficShiftState,
  ShiftPhase,
  type ShiftTickedEvent,
  type TrafficShiftEffect,
  type TrafficShiftState,
} from "../traffic_shift/state.ts";

/** Orders a shift of the service to `v2` within 14 s. */
export const SHIFT_ORDER = { service: "one", target: "v2", durationMs: 14_000 };
/** Versions that have ready endpoints. */
export const PRESENT_VERSIONS = ["v1", "v2"];

/** Limit on a faulty version's requests: a share and a fixed number. */
export const EXPOSURE_LIMIT = { share: 0.1, slack: 50 };

/** Builds a tick of a node, with two ready endpoints of either version. */
export function tickOf(
  now: number,
  rank: number | undefined,
): ShiftTickedEvent {
  return {
    type: "ticked",
    now,
    rank,
    exposure: EXPOSURE_LIMIT,
    loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
  };
}

/** Creates a node that leads a traffic shift ordered at time 0. */
export function createLeader(ordered = SHIFT_ORDER): TrafficShiftState {
  const state = createTrafficShiftState({ self: "a", source: "a 1" });
  decideTrafficShift(state, { type: "leased", epoch: 1 });
  decideTrafficShift(state, {
    type: "ordered",
    order: ordered,
    isNew: true,
    now: 0,
  });
  return state;
}

/** Options of `simulateShift`. */
export interface SimulateShiftOptions {
  /** End of the simulation. */
  readonly untilMs: number;
  /** Whether a run of the version at that time fails. */
  readonly isFailed?: (version: string, now: number, n: number) => boolean;
  /** Whether a nested call of each run failed. */
  readonly hasNestedFailure?: boolean;
  /** Run time of a request. 60 ms by default. */
  readonly tookMs?: (version: string, now: number, n: number) => number;
  /** Number of requests in the next 100 ms. 20 by default. */
  readonly perTick?: () => number;
}

/**
 * Simulates a shift led by one node, with 200 requests a second by default and
 * a store that confirms each write immediately.
 */
export function simulateShift(
  state: TrafficShiftState,
  opts: SimulateShiftOptions,
) {
  const counts = new Map<string, number>();
  const records: { phase: ShiftPhase; at: number }[] = [];
  for (let now = 0; now <= opts.untilMs; now += 100) {
    const requests = opts.perTick?.() ?? 20;
    for (let n = 0; n < requests; n++) {
      const [version] = chooseVersions(state, "one", PRESENT_VERSIONS);
      assert.ok(version);
      counts.set(version, (counts.get(version) ?? 0) + 1);
      countRun(state, {
        service: "one",
        version,
        route: "a",
        isFailed: opts.isFailed?.(version, now, n) ?? false,
        hasNestedFailure: opts.hasNestedFailure ?? false,
        tookMs: opts.tookMs?.(version, now, n) ?? 60,
      });
    }
    const effects: readonly TrafficShiftEffect[] = decideTrafficShift(
      state,
      tickOf(now, 0),
    );
    for (const effect of effects) {
      if (effect.type !== "record") continue;
      const { phase } = effect.status;
      if (phase !== records.at(-1)?.phase) records.push({ phase, at: now });
      decideTrafficShift(state, {
        type: "recorded",
        status: effect.status,
        tookMs: 10,
        now,
      });
    }
  }
  return { counts, records };
}

/**
 * Simulates a shift over four nodes, each with an endpoint. Returns the phases
 * and the time of the last request to v2.
 */
export function simulateFleet(opts: {
  readonly untilMs: number;
  readonly isFailed: (home: number, now: number, n: number) => boolean;
}) {
  const homes = [0, 1, 2, 3].map((n) => {
    const state = createTrafficShiftState({ self: `${n}`, source: `${n} 1` });
    decideTrafficShift(state, {
      type: "ordered",
      order: SHIFT_ORDER,
      isNew: true,
      now: 0,
    });
    return state;
  });
  const [first] = homes;
  assert.ok(first);
  decideTrafficShift(first, { type: "leased", epoch: 1 });
  let lastAt = 0;
  const phases: ShiftPhase[] = [];
  for (let now = 0; now <= opts.untilMs; now += 100) {
    for (let n = 0; n < 40; n++) {
      const at = n % homes.length;
      const state = homes[at];
      assert.ok(state);
      const hasOld = phases.at(-1) !== ShiftPhase.Completed &&
        phases.at(-1) !== ShiftPhase.RolledBack;
      const [version] = chooseVersions(
        state,
        "one",
        hasOld ? PRESENT_VERSIONS : ["v2"],
      );
      if (version === undefined) continue;
      if (version === "v2") lastAt = now;
      countRun(state, {
        service: "one",
        version,
        route: "a",
        isFailed: version === "v2" && opts.isFailed(at, now, n),
        hasNestedFailure: false,
        tookMs: 60,
      });
    }
    for (const [at, state] of homes.entries()) {
      const effects = decideTrafficShift(state, tickOf(now, at));
      for (const effect of effects) {
        switch (effect.type) {
          case "record": {
            const { phase } = effect.status;
            if (phase !== phases.at(-1)) phases.push(phase);
            const recordedEffects = decideTrafficShift(state, {
              type: "recorded",
              status: effect.status,
              tookMs: 10,
              now,
            });
            for (const one of recordedEffects) deliver(homes, state, one, now);
            break;
          }
          default:
            deliver(homes, state, effect, now);
        }
      }
    }
  }
  return { phases, lastAt };
}

/** Delivers the messages of a node to the other nodes. */
export function deliver(
  homes: readonly TrafficShiftState[],
  from: TrafficShiftState,
  effect: TrafficShiftEffect,
  now: number,
) {
  for (const to of homes) {
    if (to === from) continue;
    if (effect.type === "send-step") {
      decideTrafficShift(to, { type: "step-received", step: effect.step, now });
    }
    if (effect.type === "send-report") {
      decideTrafficShift(to, {
        type: "report-received",
        report: effect.report,
        now,
      });
    }
    if (effect.type === "send-fault") {
      decideTrafficShift(to, { type: "fault-received", fault: effect.fault });
    }
  }
}
