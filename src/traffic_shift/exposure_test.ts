import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { createTrafficShiftState, ShiftPhase } from "./state.ts";

const SEED = 17;
const RUNS_PER_PROPERTY = 100;
const EXPOSURE = { share: 0.1, slack: 50 };
const TICK_MS = 100;
/** Time from the start of a run until it is counted. */
const RUN_MS = 100;

interface ShiftCase {
  readonly durationMs: number;
  readonly perSecond: number;
  /** When the fault begins. Undefined for a version without a fault. */
  readonly onsetMs: number | undefined;
  /** Share of the runs that fail from then on. */
  readonly failureRate: number;
  /** Time until the target has endpoints. */
  readonly startMs: number;
}

/** Simulates a traffic shift until 10 s after its deadline. */
function simulateCase(shift: ShiftCase) {
  const { durationMs, perSecond, onsetMs, failureRate } = shift;
  const order = { service: "one", target: "v2", durationMs };
  const [state, other] = ["a", "b"].map((self) => {
    const nodeState = createTrafficShiftState({ self, source: `${self} 1` });
    decideTrafficShift(nodeState, {
      type: "ordered",
      order,
      isNew: true,
      now: 0,
    });
    return nodeState;
  });
  assert.ok(state && other);
  decideTrafficShift(state, { type: "leased", epoch: 1 });
  let served = 0;
  const runningCalls: { version: string; at: number; isFailed: boolean }[] = [];
  let [due, bad, total, onTarget, failures] = [0, 0, 0, 0, 0];
  let lastAt = -Infinity;
  let fiftiethFailureAt = Infinity;
  const ends = new Map<ShiftPhase, number>();
  for (let now = 0; now <= durationMs + 10_000; now += TICK_MS) {
    for (due += (perSecond * TICK_MS) / 1_000; due >= 1; due--) {
      const isDone = ends.has(ShiftPhase.Completed);
      const hasTarget = now >= shift.startMs;
      const present = [...(isDone ? [] : ["v1"]), ...(hasTarget ? ["v2"] : [])];
      const [version] = chooseVersions(state, "one", present);
      if (version === undefined) continue;
      const isTarget = version === "v2";
      let isFailed = false;
      if (isTarget && onsetMs !== undefined && now >= onsetMs) {
        bad += failureRate;
        isFailed = bad >= 1;
        if (isFailed) bad -= 1;
      }
      if (now <= durationMs) total++;
      if (isTarget && now <= durationMs) onTarget++;
      if (isTarget) lastAt = now;
      if (isFailed && ++failures === 50) fiftiethFailureAt = now;
      runningCalls.push({ version, at: now, isFailed });
    }
    while (
      runningCalls[0] !== undefined && runningCalls[0].at + RUN_MS <= now
    ) {
      const { version, isFailed } = runningCalls[0];
      runningCalls.shift();
      // Two endpoints of each version, since the bake needs at least two to
      // find a fault. Seven runs in a row go to the same endpoint, so that
      // periodic failures are not all counted at one of them.
      countRun(Math.floor(served++ / 7) % 2 === 0 ? state : other, {
        service: "one",
        version,
        route: "a",
        isFailed,
        hasNestedFailure: false,
        tookMs: 60,
      });
    }
    const hasTarget = now >= shift.startMs;
    const tick = (rank: number | undefined) =>
      ({
        type: "ticked",
        now,
        rank,
        exposure: EXPOSURE,
        loadOf: () => ({
          ready: hasTarget ? 4 : 0,
          calls: 0,
          otherReady: 4,
          otherCalls: 3,
        }),
      }) as const;
    for (const effect of decideTrafficShift(other, tick(undefined))) {
      if (effect.type !== "send-report") continue;
      const { report } = effect;
      decideTrafficShift(state, { type: "report-received", report, now });
    }
    for (const effect of decideTrafficShift(state, tick(0))) {
      if (effect.type === "send-step") {
        decideTrafficShift(other, {
          type: "step-received",
          step: effect.step,
          now,
        });
      }
      if (effect.type !== "record") continue;
      const { status } = effect;
      if (!ends.has(status.phase)) ends.set(status.phase, now);
      const confirmed = { type: "recorded", status, tookMs: 10, now } as const;
      for (const next of decideTrafficShift(state, confirmed)) {
        if (next.type !== "send-step") continue;
        decideTrafficShift(other, {
          type: "step-received",
          step: next.step,
          now,
        });
      }
    }
  }
  return { ends, total, onTarget, lastAt, fiftiethAt: fiftiethFailureAt };
}

const shiftCases = fc.record({
  durationMs: fc.integer({ min: 40, max: 400 }).map((n) => n * 100),
  perSecond: fc.integer({ min: 1, max: 900 }),
  startMs: fc.integer({ min: 5, max: 15 }).map((n) => n * 100),
  failureRate: fc.double({ min: 0.4, max: 0.6, noNaN: true }),
});

test("version without a fault is completed by its deadline at any request rate", () => {
  fc.assert(
    fc.property(shiftCases, (shift) => {
      const { ends } = simulateCase({ ...shift, onsetMs: undefined });
      const at = ends.get(ShiftPhase.Completed) ?? Infinity;
      assert.ok(at < shift.durationMs, `${at} of ${shift.durationMs}`);
      assert.ok(!ends.has(ShiftPhase.RolledBack));
    }),
    { seed: SEED, numRuns: RUNS_PER_PROPERTY },
  );
});

test("exposure stays within its limit whenever a fault begins", () => {
  const onset = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(shiftCases, onset, (shift, onsetShare) => {
      const onsetMs = onsetShare * shift.durationMs;
      const { total, onTarget } = simulateCase({ ...shift, onsetMs });
      const allowed = EXPOSURE.share * total + EXPOSURE.slack;
      assert.ok(onTarget <= allowed, `${onTarget} of ${total}`);
    }),
    { seed: SEED, numRuns: RUNS_PER_PROPERTY },
  );
});

test("faulty version gets no request 5 s after its 50th failure", () => {
  const onset = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(shiftCases, onset, (shift, onsetShare) => {
      const onsetMs = onsetShare * shift.durationMs;
      const { lastAt, fiftiethAt } = simulateCase({ ...shift, onsetMs });
      assert.ok(lastAt <= fiftiethAt + 5_000, `${lastAt}, ${fiftiethAt}`);
    }),
    { seed: SEED, numRuns: RUNS_PER_PROPERTY },
  );
});
