import { test } from "node:test";
import assert from "node:assert/strict";
import { latencyEdgesMs, Side } from "../rollout/messages.ts";
import { chooseVersions } from "./choose_version.ts";
import { countRun } from "./count_run.ts";
import { decideTakeover } from "./decide_takeover.ts";
import { describeMoves } from "./describe_moves.ts";
import { mayComplete } from "./plan_share.ts";
import { sumRuns } from "./sum_runs.ts";
import { decodeOrderTime, encodeOrderTime } from "./order_time.ts";
import {
  createTakeoverState,
  MovePhase,
  type TakeoverEffect,
  type TakeoverEvent,
  type TakeoverState,
} from "./state.ts";

const order = { service: "one", target: "v2", durationMs: 14_000 };
const present = ["v1", "v2"];

/** Most requests that a bad version may get. */
const exposure = { share: 0.1, slack: 50 };

function leader(ordered = order): TakeoverState {
  const state = createTakeoverState({ self: "a", source: "a 1" });
  decideTakeover(state, { type: "leased", epoch: 1 });
  decideTakeover(state, {
    type: "ordered",
    order: ordered,
    isNew: true,
    now: 0,
  });
  return state;
}

interface PlayOptions {
  readonly untilMs: number;
  /** Whether a run of the version at that time fails. */
  readonly isFailed?: (version: string, now: number, n: number) => boolean;
  readonly isExcused?: boolean;
  readonly tookMs?: (version: string, now: number, n: number) => number;
  /** Requests in the next 100 ms. */
  readonly perTick?: () => number;
}

/** Plays 200 requests a second; the store confirms at once. */
function play(state: TakeoverState, opts: PlayOptions) {
  const counts = new Map<string, number>();
  const records: { phase: MovePhase; at: number }[] = [];
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
    const effects: readonly TakeoverEffect[] = decideTakeover(state, {
      type: "ticked",
      now,
      rank: 0,
      exposure,
      loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
    });
    for (const effect of effects) {
      if (effect.type !== "record") continue;
      const { phase } = effect.status;
      if (phase !== records.at(-1)?.phase) records.push({ phase, at: now });
      decideTakeover(state, {
        type: "recorded",
        status: effect.status,
        tookMs: 10,
        now,
      });
    }
  }
  return { counts, records };
}

test("a good version is completed shortly before its time is over", () => {
  const { records } = play(leader(), { untilMs: 14_000 });
  assert.equal(records[0]?.phase, MovePhase.Running);
  assert.equal(records[1]?.phase, MovePhase.Completed);
  const leftMs = order.durationMs - (records[1]?.at ?? Infinity);
  assert.ok(leftMs >= 300 && leftMs <= 600, `${leftMs} ms before`);
});

for (const perSecond of [2, 20, 100, 600]) {
  for (const durationMs of [6_000, 8_000, 16_000, 30_000]) {
    test(`${perSecond} requests a second move within ${durationMs} ms`, () => {
      const state = leader({ ...order, durationMs });
      let due = 0;
      const { counts, records } = play(state, {
        untilMs: durationMs,
        perTick: () => {
          due += perSecond / 10;
          const whole = Math.floor(due);
          due -= whole;
          return whole;
        },
      });
      assert.equal(records.at(-1)?.phase, MovePhase.Completed);
      const moved = counts.get("v2") ?? 0;
      const total = moved + (counts.get("v1") ?? 0);
      assert.ok(moved <= exposure.share * total + exposure.slack);
    });
  }
}

for (
  const [name, isFailed] of [
    ["at once", () => true],
    ["late", (_: string, now: number) => now > 3_000],
    ["at a fifth of its runs", (_: string, __: number, n: number) => n < 4],
  ] as const
) {
  test(`a version that fails ${name} is taken back`, () => {
    const state = leader();
    const { counts, records } = play(state, {
      untilMs: 14_000,
      isFailed: (version, now, n) => version === "v2" && isFailed("", now, n),
    });
    assert.equal(records.at(-1)?.phase, MovePhase.RolledBack);
    const total = (counts.get("v1") ?? 0) + (counts.get("v2") ?? 0);
    assert.ok((counts.get("v2") ?? 0) < 0.1 * total + 50);
    assert.deepEqual(chooseVersions(state, "one", present), ["v1"]);
  });
}

test("a version that is several times slower is taken back", () => {
  const { records } = play(leader(), {
    untilMs: 14_000,
    tookMs: (version, _, n) => version === "v2" && n % 2 === 0 ? 500 : 60,
  });
  assert.equal(records.at(-1)?.phase, MovePhase.RolledBack);
});

test("a load that comes with the last step is no fault of the version", () => {
  const state = leader();
  const shareOf = () => state.moves.get("one")?.step.share ?? 0;
  const { records } = play(state, {
    untilMs: 14_000,
    // A third of the runs takes twice as long once the load is there.
    tookMs: (_, __, n) => shareOf() === 1 && n % 3 === 0 ? 160 : 80,
  });
  assert.equal(records.at(-1)?.phase, MovePhase.Completed);
});

test("a version that is many times slower at the last step is found", () => {
  const state = leader();
  const shareOf = () => state.moves.get("one")?.step.share ?? 0;
  const { records } = play(state, {
    untilMs: 14_000,
    tookMs: (_, __, n) => shareOf() === 1 && n % 2 === 0 ? 600 : 80,
  });
  assert.equal(records.at(-1)?.phase, MovePhase.RolledBack);
});

test("a fault under load alone is found on the way up", () => {
  const state = leader();
  const { counts, records } = play(state, {
    untilMs: 14_000,
    isFailed: (version, _, n) =>
      version === "v2" && n % 2 === 0 &&
      (state.moves.get("one")?.step.share ?? 0) >= 0.2,
  });
  assert.equal(records.at(-1)?.phase, MovePhase.RolledBack);
  const total = (counts.get("v1") ?? 0) + (counts.get("v2") ?? 0);
  assert.ok((counts.get("v2") ?? 0) < 0.1 * total + 50);
});

test("without an order a new version gets nothing", () => {
  const state = createTakeoverState({ self: "a", source: "a 1" });
  assert.deepEqual(chooseVersions(state, "one", ["v1"]), ["v1"]);
  assert.deepEqual(chooseVersions(state, "one", ["v2", "v1"]), ["v1"]);
});

test("only the holder of the lease plans", () => {
  const state = createTakeoverState({ self: "a", source: "a 1" });
  decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
  const load = { ready: 2, calls: 0, otherReady: 2, otherCalls: 0 };
  const tick = (rank: number | undefined) =>
    decideTakeover(state, {
      type: "ticked",
      now: 1_000,
      rank,
      exposure,
      loadOf: () => load,
    });
  assert.deepEqual(tick(undefined), []);
  assert.deepEqual(tick(0), [{ type: "lease" }]);
});

test("steps of an older lease are ignored", () => {
  const state = createTakeoverState({ self: "a", source: "a 1" });
  decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
  const hear = (epoch: number, seq: number, share: number) =>
    decideTakeover(state, {
      type: "step-heard",
      step: {
        service: "one",
        target: "v2",
        epoch,
        seq,
        phase: MovePhase.Running,
        share,
        elapsed: { ms: 0, isKnown: true },
      },
      now: 0,
    });
  hear(2, 1, 0.05);
  hear(1, 9, 1);
  assert.equal(state.moves.get("one")?.step.share, 0.05);
  hear(2, 2, 0.2);
  assert.equal(state.moves.get("one")?.step.share, 0.2);
});

test("a status read at start ends the move", () => {
  const state = createTakeoverState({ self: "a", source: "a 2" });
  const status = { service: "one", target: "v2", phase: MovePhase.RolledBack };
  decideTakeover(state, { type: "status-read", status, now: 0 });
  decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
  assert.deepEqual(chooseVersions(state, "one", present), ["v1"]);
});

test("a node that restarts takes over how far a move is, and its fault", () => {
  const before = leader();
  play(before, {
    untilMs: 6_000,
    isFailed: (version) => version === "v2",
  });
  // The leader stopped before it could record the end of the move.
  const move = before.moves.get("one");
  assert.ok(move);
  move.step = { ...move.step, phase: MovePhase.Running };
  const [told] = describeMoves(before, 6_000);
  assert.ok(told?.fault);
  const state = createTakeoverState({ self: "b", source: "b 1" });
  decideTakeover(state, { type: "ordered", order, isNew: true, now: 100_000 });
  const { step, fault, report } = told;
  decideTakeover(state, { type: "step-heard", step, now: 100_000 });
  decideTakeover(state, { type: "report-heard", report, now: 100_000 });
  decideTakeover(state, { type: "fault-heard", fault });
  decideTakeover(state, { type: "leased", epoch: 2 });
  const effects = decideTakeover(state, {
    type: "ticked",
    now: 100_000,
    rank: 0,
    exposure,
    loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
  });
  const record = effects.find((effect) => effect.type === "record");
  assert.equal(record?.status.phase, MovePhase.RolledBack);
  assert.equal(state.moves.get("one")?.orderedAt, 94_000);
});

test("each step and status carries the runs behind it", () => {
  const state = leader();
  const run = { service: "one", route: "a", isExcused: false, tookMs: 60 };
  countRun(state, { ...run, version: "v1", isFailed: false });
  countRun(state, { ...run, version: "v2", isFailed: true });
  const effects = decideTakeover(state, {
    type: "ticked",
    now: 0,
    rank: 0,
    exposure,
    loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
  });
  const runs = effects.flatMap((effect) => "runs" in effect ? effect.runs : []);
  const sums = {
    targetRuns: 1,
    targetFailures: 1,
    otherRuns: 1,
    otherFailures: 0,
  };
  assert.deepEqual(runs, [sums, sums]);
});

for (const onsetMs of [4_000, 8_000, 10_000, 12_000, 13_000]) {
  test(`a fault from ${onsetMs} ms of 14000 on reaches few requests`, () => {
    const { counts, records } = play(leader(), {
      untilMs: order.durationMs,
      isFailed: (version, now, n) =>
        version === "v2" && now >= onsetMs && n % 2 === 0,
    });
    const bad = counts.get("v2") ?? 0;
    const total = bad + (counts.get("v1") ?? 0);
    assert.ok(
      bad <= exposure.share * total + exposure.slack,
      `${bad} of ${total}`,
    );
    assert.equal(records.at(-1)?.phase, MovePhase.RolledBack);
  });
}

/** Plays nodes of two endpoints each on; returns when v2 got its last request. */
function playFleet(opts: {
  readonly untilMs: number;
  readonly isFailed: (home: number, now: number, n: number) => boolean;
}) {
  const homes = [0, 1, 2, 3].map((n) => {
    const state = createTakeoverState({ self: `${n}`, source: `${n} 1` });
    decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
    return state;
  });
  const [first] = homes;
  assert.ok(first);
  decideTakeover(first, { type: "leased", epoch: 1 });
  let lastAt = 0;
  const phases: MovePhase[] = [];
  for (let now = 0; now <= opts.untilMs; now += 100) {
    for (let n = 0; n < 40; n++) {
      const at = n % homes.length;
      const state = homes[at];
      assert.ok(state);
      const hasOld = phases.at(-1) !== MovePhase.Completed &&
        phases.at(-1) !== MovePhase.RolledBack;
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
      const effects = decideTakeover(state, {
        type: "ticked",
        now,
        rank: at,
        exposure,
        loadOf: () => ({ ready: 4, calls: 0, otherReady: 4, otherCalls: 0 }),
      });
      for (const effect of effects) {
        switch (effect.type) {
          case "record": {
            const { phase } = effect.status;
            if (phase !== phases.at(-1)) phases.push(phase);
            const told = decideTakeover(state, {
              type: "recorded",
              status: effect.status,
              tookMs: 10,
              now,
            });
            for (const one of told) tellOthers(homes, state, one, now);
            break;
          }
          default:
            tellOthers(homes, state, effect, now);
        }
      }
    }
  }
  return { phases, lastAt };
}

function tellOthers(
  homes: readonly TakeoverState[],
  from: TakeoverState,
  effect: TakeoverEffect,
  now: number,
) {
  for (const to of homes) {
    if (to === from) continue;
    if (effect.type === "tell") {
      decideTakeover(to, { type: "step-heard", step: effect.step, now });
    }
    if (effect.type === "report") {
      decideTakeover(to, { type: "report-heard", report: effect.report, now });
    }
    if (effect.type === "faulty") {
      decideTakeover(to, { type: "fault-heard", fault: effect.fault });
    }
  }
}

test("a version that turns bad once it has taken over gets nothing more", () => {
  const onsetMs = 14_200;
  const { phases, lastAt } = playFleet({
    untilMs: 25_000,
    isFailed: (_, now, n) => now >= onsetMs && n % 8 < 4,
  });
  assert.deepEqual(phases, [
    MovePhase.Running,
    MovePhase.Completed,
    MovePhase.RolledBack,
  ]);
  assert.ok(lastAt < onsetMs + 5_000, `last at ${lastAt}`);
});

test("one bad endpoint does not stop a version that has taken over", () => {
  const { phases, lastAt } = playFleet({
    untilMs: 25_000,
    isFailed: (home, now) => now >= 14_200 && home === 1,
  });
  assert.equal(phases.at(-1), MovePhase.Completed);
  assert.equal(lastAt, 25_000);
});

test("a fault long after the takeover is the endpoints' own", () => {
  const { phases } = playFleet({
    untilMs: 40_000,
    isFailed: (_, now, n) => now >= 24_000 && n % 8 < 4,
  });
  assert.equal(phases.at(-1), MovePhase.Completed);
});

test("the next node records the end while the leader is stuck", () => {
  const [first, second] = ["a", "b"].map((self) => {
    const state = createTakeoverState({ self, source: `${self} 1` });
    decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
    return state;
  });
  assert.ok(first && second);
  decideTakeover(first, { type: "leased", epoch: 1 });
  const tick = (state: TakeoverState, rank: number, now: number) =>
    decideTakeover(state, {
      type: "ticked",
      now,
      rank,
      exposure,
      loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
    });
  let endedAt: number | undefined;
  for (let now = 0; now <= order.durationMs; now += 100) {
    for (const state of [first, second]) {
      const [version] = chooseVersions(state, "one", present);
      assert.ok(version);
      for (let n = 0; n < 10; n++) {
        countRun(state, {
          service: "one",
          version,
          route: "a",
          isFailed: false,
          isExcused: false,
          tookMs: 60,
        });
      }
    }
    // The first node freezes three seconds before the deadline.
    const isStuck = now >= order.durationMs - 3_000;
    for (const [rank, state] of [first, second].entries()) {
      if (rank === 0 && isStuck) continue;
      for (const effect of tick(state, rank, now)) {
        if (effect.type === "lease") {
          decideTakeover(state, { type: "leased", epoch: 2 });
        } else if (effect.type === "record") {
          const { phase } = effect.status;
          if (phase === MovePhase.Completed) endedAt ??= now;
          const told = decideTakeover(state, {
            type: "recorded",
            status: effect.status,
            tookMs: 10,
            now,
          });
          for (const one of told) tellOthers([first, second], state, one, now);
        } else tellOthers([first, second], state, effect, now);
      }
    }
  }
  assert.ok(endedAt !== undefined && endedAt < order.durationMs, `${endedAt}`);
});

test("a leader that hears of a newer lease leads nothing for a while", () => {
  const state = leader();
  const tick = (now: number) =>
    decideTakeover(state, {
      type: "ticked",
      now,
      rank: 0,
      exposure,
      loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
    });
  const [record] = tick(0);
  assert.equal(record?.type, "tell");
  const move = state.moves.get("one");
  assert.ok(move);
  const step = {
    ...move.step,
    epoch: 2,
    seq: 1,
    elapsed: { ms: 100, isKnown: true },
  };
  decideTakeover(state, { type: "step-heard", step, now: 100 });
  assert.equal(state.epoch, undefined);
  move.fault = undefined;
  assert.deepEqual(tick(200), []);
});

test("a node that was cut off hears that a move has ended", () => {
  const before = leader();
  play(before, { untilMs: 14_000 });
  const [told] = describeMoves(before, 20_000);
  assert.equal(told?.step.phase, MovePhase.Completed);
  const state = createTakeoverState({ self: "b", source: "b 1" });
  decideTakeover(state, { type: "ordered", order, isNew: true, now: 0 });
  decideTakeover(state, { type: "step-heard", step: told.step, now: 20_000 });
  assert.deepEqual(chooseVersions(state, "one", ["v2"]), ["v2"]);
});

for (const isOrderFirst of [true, false]) {
  const first = isOrderFirst ? "an order" : "its time";
  test(`the time of an order outlives all nodes, ${first} read first`, () => {
    const time = encodeOrderTime({
      service: "one",
      target: "v2",
      orderedAt: 50_000,
    });
    const read = decodeOrderTime(time);
    assert.deepEqual(read, { service: "one", target: "v2", orderedAt: 50_000 });
    const state = createTakeoverState({ self: "a", source: "a 2" });
    const events: TakeoverEvent[] = [
      { type: "ordered", order, isNew: false, now: 1_000 },
      {
        type: "order-time-read",
        service: "one",
        target: "v2",
        elapsedMs: 9_000,
        now: 1_000,
      },
    ];
    for (const event of isOrderFirst ? events : events.toReversed()) {
      decideTakeover(state, event);
    }
    assert.equal(state.moves.get("one")?.orderedAt, -8_000);
  });
}

test("a version is not blamed for the failures of those that it calls", () => {
  const { records } = play(leader(), {
    untilMs: order.durationMs,
    isFailed: (version, _, n) => version === "v2" && n % 2 === 0,
    isExcused: true,
  });
  assert.equal(records.at(-1)?.phase, MovePhase.Completed);
});

test("a version that was taken back is not what the next move goes back to", () => {
  const state = leader();
  play(state, { untilMs: 6_000, isFailed: (version) => version === "v2" });
  const next = { ...order, target: "v3" };
  decideTakeover(state, {
    type: "ordered",
    order: next,
    isNew: true,
    now: 6_000,
  });
  assert.deepEqual(chooseVersions(state, "one", ["v1", "v2", "v3"]), ["v1"]);
});

test("nodes that warm up under their full load are no fault", () => {
  const state = leader();
  const move = state.moves.get("one");
  assert.ok(move);
  const isWarming = (now: number) =>
    (move.step.share ?? 0) >= 0.25 && now - move.stepAt < 200;
  const { records } = play(state, {
    untilMs: 14_000,
    tookMs: (version, now) => version === "v2" && isWarming(now) ? 300 : 60,
  });
  assert.equal(records.at(-1)?.phase, MovePhase.Completed);
});

test("a leader that has just started begins with a small share", () => {
  const state = leader();
  const effects = decideTakeover(state, {
    type: "ticked",
    now: 100,
    rank: 0,
    exposure,
    loadOf: () => ({ ready: 2, calls: 0, otherReady: 2, otherCalls: 0 }),
  });
  const step = effects.find((effect) => effect.type === "tell");
  assert.ok(Math.abs((step?.step.share ?? 0) - 0.02) < 1e-9);
});

test("a slow store gets the end of a move sooner", () => {
  const plan = {
    share: 1,
    durationMs: 10_000,
    judgement: { type: "clear", calls: 500 },
    runs: sumRuns(new Map()),
    ratePerMs: 0.3,
    exposure,
    stageRuns: 100,
    otherCalls: 0,
  } as const;
  const at = (stageMs: number, storeMs: number) =>
    mayComplete({ ...plan, stageMs, elapsedMs: 9_000 + stageMs, storeMs });
  assert.equal(at(250, 5), false);
  assert.equal(at(500, 5), true);
  assert.equal(at(150, 500), false);
  assert.equal(at(250, 500), true);
});

test("a guess by the time of day moves no other node's time", () => {
  const state = leader();
  play(state, { untilMs: 2_000 });
  const move = state.moves.get("one");
  assert.ok(move);
  const guess = { ms: 9_000, isKnown: false };
  const step = { ...move.step, epoch: 2, elapsed: guess };
  decideTakeover(state, { type: "step-heard", step, now: 2_000 });
  decideTakeover(state, {
    type: "order-time-read",
    service: "one",
    target: "v2",
    elapsedMs: 9_000,
    now: 2_000,
  });
  assert.equal(move.orderedAt, 0);
});

test("what a node guesses gives way to what another has seen", () => {
  const state = createTakeoverState({ self: "b", source: "b 1" });
  decideTakeover(state, { type: "ordered", order, isNew: false, now: 5_000 });
  decideTakeover(state, {
    type: "order-time-read",
    service: "one",
    target: "v2",
    elapsedMs: 9_000,
    now: 5_000,
  });
  const move = state.moves.get("one");
  assert.ok(move);
  const elapsed = { ms: 4_000, isKnown: true };
  const step = { ...move.step, elapsed };
  decideTakeover(state, { type: "step-heard", step, now: 5_000 });
  assert.equal(move.orderedAt, 1_000);
});

test("the record of one move does not end the next", () => {
  const state = leader();
  play(state, { untilMs: 4_000 });
  const next = { ...order, target: "v3" };
  decideTakeover(state, {
    type: "ordered",
    order: next,
    isNew: true,
    now: 4_000,
  });
  decideTakeover(state, {
    type: "recorded",
    status: { service: "one", target: "v2", phase: MovePhase.Completed },
    tookMs: 10,
    now: 4_100,
  });
  assert.equal(state.moves.get("one")?.step.phase, MovePhase.Running);
});

test("a node that restarts long after a move does not judge it anew", () => {
  const state = createTakeoverState({ self: "a", source: "a 2" });
  const status = { service: "one", target: "v2", phase: MovePhase.Completed };
  decideTakeover(state, { type: "ordered", order, isNew: false, now: 0 });
  decideTakeover(state, { type: "status-read", status, now: 50 });
  decideTakeover(state, { type: "leased", epoch: 9 });
  const run = { service: "one", version: "v2", route: "a", tookMs: 60 };
  for (let now = 100; now <= 10_000; now += 100) {
    for (let n = 0; n < 10; n++) {
      countRun(state, { ...run, isFailed: true, isExcused: false });
    }
    const report = {
      service: "one",
      target: "v2",
      source: "b 2",
      seq: now,
      elapsed: { ms: 0, isKnown: false },
      counts: [{
        side: Side.New,
        route: "a",
        calls: now / 10,
        failures: now / 10,
        overdue: 0,
        buckets: new Array<number>(latencyEdgesMs.length + 1).fill(0),
      }],
    };
    decideTakeover(state, { type: "report-heard", report, now });
    const effects = decideTakeover(state, {
      type: "ticked",
      now,
      rank: 0,
      exposure,
      loadOf: () => ({ ready: 2, calls: 0, otherReady: 0, otherCalls: 0 }),
    });
    assert.deepEqual(effects, []);
  }
  assert.deepEqual(chooseVersions(state, "one", ["v2"]), ["v2"]);
});

test("a move is not ended on a version without an endpoint", () => {
  const state = leader();
  play(state, { untilMs: 13_200 });
  const effects = decideTakeover(state, {
    type: "ticked",
    now: 13_900,
    rank: 0,
    exposure,
    loadOf: () => ({ ready: 0, calls: 0, otherReady: 2, otherCalls: 0 }),
  });
  assert.ok(effects.every((effect) => effect.type !== "record"));
});
