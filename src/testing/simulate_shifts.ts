/**
 * Plays moves of one service against the decisions of `src/takeover`.
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

export const order = { service: "one", target: "v2", durationMs: 14_000 };
export const present = ["v1", "v2"];

/** Most requests that a bad version may get. */
export const exposure = { share: 0.1, slack: 50 };

/** A look at the moves of a node, with endpoints of both versions. */
export function tickOf(
  now: number,
  rank: number | undefined,
): ShiftTickedEvent {
  return {
    type: "ticked",
    now,
    rank,
    exposure,
    loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
  };
}

/** A node that leads a move ordered at 0. */
export function leader(ordered = order): TrafficShiftState {
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

export interface SimulateShiftOptions {
  readonly untilMs: number;
  /** Whether a run of the version at that time fails. */
  readonly isFailed?: (version: string, now: number, n: number) => boolean;
  readonly isExcused?: boolean;
  readonly tookMs?: (version: string, now: number, n: number) => number;
  /** Requests in the next 100 ms. */
  readonly perTick?: () => number;
}

/** Plays 200 requests a second; the store confirms at once. */
export function simulateShift(
  state: TrafficShiftState,
  opts: SimulateShiftOptions,
) {
  const counts = new Map<string, number>();
  const records: { phase: ShiftPhase; at: number }[] = [];
  for (let now = 0; now <= opts.untilMs; now += 100) {
    const requests = opts.perTick?.() ?? 20;
    for (let n = 0; n < requests; n++) {
      const [version] = chooseVersions(state, "one", present);
      assert.ok(version);
      counts.set(version, (counts.get(version) ?? 0) + 1);
      countRun(state, {
        service: "one",
        version,
        route: "a",
        isFailed: opts.isFailed?.(version, now, n) ?? false,
        isExcused: opts.isExcused ?? false,
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

/** Plays four nodes, each beside an endpoint, until v2 got its last request. */
export function simulateFleet(opts: {
  readonly untilMs: number;
  readonly isFailed: (home: number, now: number, n: number) => boolean;
}) {
  const homes = [0, 1, 2, 3].map((n) => {
    const state = createTrafficShiftState({ self: `${n}`, source: `${n} 1` });
    decideTrafficShift(state, { type: "ordered", order, isNew: true, now: 0 });
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
        hasOld ? present : ["v2"],
      );
      if (version === undefined) continue;
      if (version === "v2") lastAt = now;
      countRun(state, {
        service: "one",
        version,
        route: "a",
        isFailed: version === "v2" && opts.isFailed(at, now, n),
        isExcused: false,
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
            const told = decideTrafficShift(state, {
              type: "recorded",
              status: effect.status,
              tookMs: 10,
              now,
            });
            for (const one of told) deliver(homes, state, one, now);
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

/** Carries what a node tells to the others. */
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
