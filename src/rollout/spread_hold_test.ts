import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createRolloutFixture,
  type RolloutFixture,
} from "../testing/rollout_fixture.ts";
import { decideRollout } from "./decide_rollout.ts";
import type { RolloutMessage, RouteCounts } from "./messages.ts";
import {
  createRolloutState,
  type RolloutEffect,
  type RolloutState,
} from "./state.ts";

const VERSION_KEY = "portaal@v2";
const FINDING = {
  route: "accounts",
  measure: "errors",
  calls: 6,
  bad: 5,
  oldCalls: 100,
  oldBad: 0,
  score: 12,
} as const;

function tick(
  fixture: RolloutFixture,
  state: RolloutState,
  now: number,
): readonly RolloutEffect[] {
  const effects = decideRollout(state, fixture.tick(state, now));
  for (const effect of effects) {
    if (effect.type !== "append") continue;
    fixture.append(effect.record);
    decideRollout(state, { type: "settled", rollout: fixture.id });
  }
  return effects;
}

/** Creates a lease holder past its start, whose rollout has its first share. */
function startHolder() {
  const fixture = createRolloutFixture();
  const state = createRolloutState({ self: "n1", domain: "d1", boot: "b1" });
  for (let now = 0; now <= 3_000; now += 250) tick(fixture, state, now);
  assert.equal(fixture.rollout().perMille, 20);
  return { fixture, state };
}

function send(
  state: RolloutState,
  from: string,
  now: number,
  message: RolloutMessage,
) {
  return decideRollout(state, { type: "received", from, now, message });
}

function counts(side: "new" | "old", calls: number, failures = 0): RouteCounts {
  const buckets = new Array<number>(13).fill(0);
  buckets[1] = calls;
  return { side, route: "accounts", calls, failures, overdue: 0, buckets };
}

/** Report on domain `d2` from its reader `x1`. */
function report(
  fixture: RolloutFixture,
  seq: number,
  sides: readonly RouteCounts[],
): RolloutMessage {
  return {
    type: "rollout/evidence",
    report: {
      rollout: fixture.id,
      level: "domain",
      source: "x1/b1/domain/1",
      seq,
      domain: "d2",
      receiver: "n1#1",
      counts: sides,
    },
  };
}

const heldBy = (fixture: RolloutFixture, origin: string) =>
  ({ type: "rollout/held", rollout: fixture.id, origin }) as const;

const sendsOf = (effects: readonly RolloutEffect[], type: string) =>
  effects.flatMap((one) =>
    one.type === "send" && one.message.type === type ? [one.to] : []
  );

test("remote hold reaches every domain immediately", () => {
  const { fixture, state } = startHolder();
  send(state, "x1", 3_100, report(fixture, 1, [counts("old", 10)]));
  const effects = send(state, "y1", 3_150, heldBy(fixture, "y5"));
  assert.ok(state.held.has(VERSION_KEY));
  assert.deepEqual(sendsOf(effects, "rollout/hold").sort(), ["x1", "y1"]);
  assert.ok(effects.some((one) => one.type === "tell-domain"));
  const again = [1, 2, 3, 4, 5].flatMap((index) =>
    sendsOf(tick(fixture, state, 3_150 + 250 * index), "rollout/hold")
  );
  assert.ok(again.includes("x1"), "a lost order is repeated");
});

test("fault of one domain causes a rollback once confirmed", () => {
  const { fixture, state } = startHolder();
  send(state, "x1", 3_100, report(fixture, 1, [counts("old", 10)]));
  const shown = { domain: "d2", finding: FINDING };
  send(state, "x1", 3_150, { ...heldBy(fixture, "x1"), shown });
  tick(fixture, state, 3_250);
  assert.notEqual(fixture.rollout().phase, "rolled-back");
  send(state, "x1", 3_300, report(fixture, 2, [counts("old", 60)]));
  tick(fixture, state, 3_500);
  assert.equal(fixture.rollout().phase, "rolled-back");
});

test("fault that the old version shares causes no rollback", () => {
  const { fixture, state } = startHolder();
  send(state, "x1", 3_100, report(fixture, 1, [counts("old", 10)]));
  const shown = { domain: "d2", finding: FINDING };
  send(state, "x1", 3_150, { ...heldBy(fixture, "x1"), shown });
  send(state, "x1", 3_300, report(fixture, 2, [counts("old", 60, 20)]));
  const effects = tick(fixture, state, 3_500);
  assert.notEqual(fixture.rollout().phase, "rolled-back");
  assert.deepEqual(sendsOf(effects, "rollout/release"), ["x1"]);
  assert.equal(state.held.size, 0);
});

test("late good call does not end an alert", () => {
  const { fixture, state } = startHolder();
  send(state, "x1", 3_100, report(fixture, 1, [counts("old", 100)]));
  let now = 3_100;
  for (let seq = 2; !state.held.has(VERSION_KEY); seq++) {
    now += 250;
    const sides = [counts("old", 100), counts("new", seq, seq)];
    send(state, "x1", now, report(fixture, seq, sides));
    tick(fixture, state, now);
    assert.ok(seq < 20);
  }
  const sides = [counts("old", 100), counts("new", 900, 4)];
  send(state, "x1", now, report(fixture, 99, sides));
  tick(fixture, state, now + 250);
  assert.ok(state.held.has(VERSION_KEY));
});

test("hold of a single node causes no rollback", () => {
  const { fixture, state } = startHolder();
  send(state, "x1", 3_150, heldBy(fixture, "x5"));
  const released: string[] = [];
  for (let now = 3_250; now <= 20_000; now += 250) {
    released.push(...sendsOf(tick(fixture, state, now), "rollout/release"));
  }
  assert.deepEqual(released, ["x1"]);
  assert.notEqual(fixture.rollout().phase, "rolled-back");
  assert.equal(state.held.size, 0);
});

test("holds of two domains end together", () => {
  const { fixture, state } = startHolder();
  const releasedAt: number[] = [];
  for (let now = 3_250; now <= 30_000; now += 250) {
    const isHeld = state.held.has(VERSION_KEY) &&
      state.tracks.get(fixture.id)?.hold
          ?.phase === "full";
    if (now === 3_250 || isHeld) send(state, "x1", now, heldBy(fixture, "x5"));
    if (now === 7_250 || (now > 7_250 && isHeld)) {
      send(state, "y1", now, heldBy(fixture, "y5"));
    }
    const effects = tick(fixture, state, now);
    if (sendsOf(effects, "rollout/release").length > 0) releasedAt.push(now);
  }
  assert.deepEqual(releasedAt, [15_250]);
});

test("holder that is the only reader releases a node's hold", () => {
  const { fixture, state } = startHolder();
  const hold = { type: "rollout/hold", rollout: fixture.id } as const;
  send(state, "n2", 3_100, { ...hold, origin: "n2", reason: "r" });
  for (let now = 3_250; now <= 25_000; now += 250) tick(fixture, state, now);
  assert.equal(state.held.size, 0);
});

test("rollback that the log lost is appended again", () => {
  const { fixture, state } = startHolder();
  send(state, "x1", 3_100, report(fixture, 1, [counts("old", 10)]));
  const shown = { domain: "d2", finding: FINDING };
  send(state, "x1", 3_150, { ...heldBy(fixture, "x1"), shown });
  send(state, "x1", 3_300, report(fixture, 2, [counts("old", 60)]));
  let sent = 0;
  for (let now = 3_500; now < 4_500; now += 250) {
    const effects = decideRollout(state, fixture.tick(state, now));
    sent += effects.filter((one) => one.type === "append").length;
  }
  assert.equal(sent, 1);
  decideRollout(state, { type: "settled", rollout: fixture.id });
  tick(fixture, state, 4_500);
  assert.equal(fixture.rollout().phase, "rolled-back");
});

for (const hasRemoteHold of [true, false]) {
  const name = hasRemoteHold
    ? "confirms a remote hold"
    : "causes no rollback without a hold";
  test(`weak evidence of the fleet ${name}`, () => {
    const { fixture, state } = startHolder();
    const sendReport = (seq: number, old: number, fresh: number) => {
      const sides = [counts("old", old), counts("new", fresh, fresh)];
      const now = 3_000 + 250 * seq;
      send(state, "x1", now, report(fixture, seq, sides));
      tick(fixture, state, now);
    };
    sendReport(1, 100, 0);
    sendReport(2, 100, 1);
    sendReport(3, 100, 2);
    assert.equal(state.held.size, 0);
    if (hasRemoteHold) send(state, "x1", 3_800, heldBy(fixture, "x5"));
    sendReport(4, 101, 2);
    sendReport(5, 201, 2);
    const { phase } = fixture.rollout();
    assert.equal(phase, hasRemoteHold ? "rolled-back" : "shifting");
  });
}
