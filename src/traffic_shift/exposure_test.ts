import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTrafficShift } from "./decide_traffic_shift.ts";
import { createTrafficShiftState, ShiftPhase } from "./state.ts";

const seed = 17;
const runs = 100;
const exposure = { share: 0.1, slack: 50 };
const tickMs = 100;
/** Time from a run's start to its report. */
const runMs = 100;

interface Move {
  readonly durationMs: number;
  readonly perSecond: number;
  /** When the fault begins. Undefined for a good version. */
  readonly onsetMs: number | undefined;
  /** Part of the runs that fail then. */
  readonly badPart: number;
  /** Time in which the target has no endpoint. */
  readonly startMs: number;
}

/** Plays a move until 10 s after its deadline. */
function play(move: Move) {
  const { durationMs, perSecond, onsetMs, badPart } = move;
  const order = { service: "one", target: "v2", durationMs };
  const [state, other] = ["a", "b"].map((self) => {
    const one = createTrafficShiftState({ self, source: `${self} 1` });
    decideTrafficShift(one, { type: "ordered", order, isNew: true, now: 0 });
    return one;
  });
  assert.ok(state && other);
  decideTrafficShift(state, { type: "leased", epoch: 1 });
  let served = 0;
  const underway: { version: string; at: number; isFailed: boolean }[] = [];
  let [due, bad, total, onTarget, failures] = [0, 0, 0, 0, 0];
  let lastAt = -Infinity;
  let fiftiethAt = Infinity;
  const ends = new Map<ShiftPhase, number>();
  for (let now = 0; now <= durationMs + 10_000; now += tickMs) {
    for (due += (perSecond * tickMs) / 1_000; due >= 1; due--) {
      const isDone = ends.has(ShiftPhase.Completed);
      const hasTarget = now >= move.startMs;
      const present = [...(isDone ? [] : ["v1"]), ...(hasTarget ? ["v2"] : [])];
      const [version] = chooseVersions(state, "one", present);
      if (version === undefined) continue;
      const isTarget = version === "v2";
      let isFailed = false;
      if (isTarget && onsetMs !== undefined && now >= onsetMs) {
        bad += badPart;
        isFailed = bad >= 1;
        if (isFailed) bad -= 1;
      }
      if (now <= durationMs) total++;
      if (isTarget && now <= durationMs) onTarget++;
      if (isTarget) lastAt = now;
      if (isFailed && ++failures === 50) fiftiethAt = now;
      underway.push({ version, at: now, isFailed });
    }
    while (underway[0] !== undefined && underway[0].at + runMs <= now) {
      const { version, isFailed } = underway[0];
      underway.shift();
      // Two endpoints of each version: one alone does not convict it. Seven runs
      // in a row keep regular failures from falling to one of them.
      countRun(Math.floor(served++ / 7) % 2 === 0 ? state : other, {
        service: "one",
        version,
        route: "a",
        isFailed,
        isExcused: false,
        tookMs: 60,
      });
    }
    const hasTarget = now >= move.startMs;
    const tick = (rank: number | undefined) =>
      ({
        type: "ticked",
        now,
        rank,
        exposure,
        loadOf: () => ({
          ready: hasTarget ? 4 : 0,
          calls: 0,
          otherReady: 4,
          otherCalls: 3,
        }),
      }) as const;
    for (const effect of decideTrafficShift(other, tick(undefined))) {
      if (effect.type !== "report") continue;
      const { report } = effect;
      decideTrafficShift(state, { type: "report-heard", report, now });
    }
    for (const effect of decideTrafficShift(state, tick(0))) {
      if (effect.type === "tell") {
        decideTrafficShift(other, {
          type: "step-heard",
          step: effect.step,
          now,
        });
      }
      if (effect.type !== "record") continue;
      const { status } = effect;
      if (!ends.has(status.phase)) ends.set(status.phase, now);
      const confirmed = { type: "recorded", status, tookMs: 10, now } as const;
      for (const told of decideTrafficShift(state, confirmed)) {
        if (told.type !== "tell") continue;
        decideTrafficShift(other, { type: "step-heard", step: told.step, now });
      }
    }
  }
  return { ends, total, onTarget, lastAt, fiftiethAt };
}

const moves = fc.record({
  durationMs: fc.integer({ min: 40, max: 400 }).map((n) => n * 100),
  perSecond: fc.integer({ min: 1, max: 900 }),
  startMs: fc.integer({ min: 5, max: 15 }).map((n) => n * 100),
  badPart: fc.double({ min: 0.4, max: 0.6, noNaN: true }),
});

test("a good version is completed by its deadline at any rate", () => {
  fc.assert(
    fc.property(moves, (move) => {
      const { ends } = play({ ...move, onsetMs: undefined });
      const at = ends.get(ShiftPhase.Completed) ?? Infinity;
      assert.ok(at < move.durationMs, `${at} of ${move.durationMs}`);
      assert.ok(!ends.has(ShiftPhase.RolledBack));
    }),
    { seed, numRuns: runs },
  );
});

test("a fault at any moment before the deadline reaches few requests", () => {
  const onset = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(moves, onset, (move, part) => {
      const onsetMs = part * move.durationMs;
      const { total, onTarget } = play({ ...move, onsetMs });
      const allowed = exposure.share * total + exposure.slack;
      assert.ok(onTarget <= allowed, `${onTarget} of ${total}`);
    }),
    { seed, numRuns: runs },
  );
});

test("a bad version gets nothing 5 s after its 50th bad answer", () => {
  const onset = fc.double({ min: 0, max: 1, noNaN: true });
  fc.assert(
    fc.property(moves, onset, (move, part) => {
      const onsetMs = part * move.durationMs;
      const { lastAt, fiftiethAt } = play({ ...move, onsetMs });
      assert.ok(lastAt <= fiftiethAt + 5_000, `${lastAt}, ${fiftiethAt}`);
    }),
    { seed, numRuns: runs },
  );
});
