import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { chooseVersion } from "../routing/choose_version.ts";
import { checkProperty } from "../testing/check_property.ts";
import {
  createRolloutFixture,
  type RolloutFixture,
} from "../testing/rollout_fixture.ts";
import { decideRollout } from "./decide_rollout.ts";
import {
  CallOutcome,
  createRolloutState,
  type RolloutEffect,
  type RolloutState,
} from "./state.ts";

const VERSION_KEY = "portaal@v2";

function createNode(self = "n1", boot = "b1"): RolloutState {
  return createRolloutState({ self, domain: "d1", boot });
}

function answer(state: RolloutState, version: string, failed = false) {
  decideRollout(state, {
    type: "answered",
    service: "portaal",
    version,
    route: "accounts",
    outcome: failed ? CallOutcome.Failed : CallOutcome.Served,
    latencyMs: 3,
  });
}

/** Sends a tick, and folds the records that the node appends. */
function tick(
  fixture: RolloutFixture,
  state: RolloutState,
  now: number,
  fields: object = {},
): readonly RolloutEffect[] {
  const effects = decideRollout(state, fixture.tick(state, now, fields));
  for (const effect of effects) {
    if (effect.type !== "append") continue;
    fixture.append(effect.record);
    decideRollout(state, { type: "settled", rollout: fixture.id });
  }
  return effects;
}

const types = (effects: readonly RolloutEffect[]) =>
  effects.map((one) => one.type === "append" ? one.record.kind : one.type);

/** Creates a lease holder whose rollout has its first share. */
function startHolder(fields: object = {}) {
  const fixture = createRolloutFixture(fields);
  const state = createNode();
  for (let now = 0; now <= 1_000; now += 250) tick(fixture, state, now);
  assert.equal(fixture.rollout().perMille, 20);
  return { fixture, state };
}

test("failures hold the version within 2 s without the log", () => {
  const { fixture } = startHolder();
  const node = createNode("n2");
  const remoteReaders = { readers: [{ id: "n1", boot: "b1" }] };
  tick(fixture, node, 0, remoteReaders);
  for (let call = 0; call < 100; call++) answer(node, "v1");
  let heldAt: number | undefined;
  for (let now = 250; now <= 2_000; now += 250) {
    if (heldAt === undefined) answer(node, "v2", true);
    const effects = tick(fixture, node, now, remoteReaders);
    if (!types(effects).includes("hold-changed")) continue;
    heldAt = now;
    assert.deepEqual(types(effects), ["send", "hold-changed", "send"]);
  }
  assert.ok(heldAt !== undefined && node.held.has(VERSION_KEY));
  assert.equal(fixture.rollout().perMille, 20);
});

test("single stall does not hold the version", () => {
  const { fixture } = startHolder();
  const node = createNode("n2");
  tick(fixture, node, 0);
  for (let call = 0; call < 100; call++) answer(node, "v1");
  for (let call = 0; call < 20; call++) answer(node, "v2", true);
  tick(fixture, node, 250);
  assert.equal(node.held.size, 0);
});

test("node applies a received hold immediately", () => {
  const { fixture, state } = startHolder();
  const { id: rollout } = fixture;
  const message = { type: "rollout/hold", rollout, origin: "n2", reason: "r" };
  decideRollout(state, {
    type: "received",
    from: "n2",
    now: 1_100,
    message: message as never,
  });
  assert.ok(state.held.has(VERSION_KEY));
  const effects = tick(fixture, state, 1_250);
  assert.ok(effects.some((one) => one.type === "tell-domain"));
});

test("released hold is probed and ends", () => {
  const { fixture, state } = startHolder();
  const { id: rollout } = fixture;
  const from = "n2";
  const hold = { type: "rollout/hold", rollout, origin: from, reason: "r" };
  const release = {
    type: "rollout/release",
    rollout,
    term: 1,
    isProbed: true,
  };
  for (const message of [hold, release] as never[]) {
    decideRollout(state, { type: "received", from, now: 1_100, message });
  }
  const open: boolean[] = [];
  for (let now = 1_250; now < 9_000; now += 250) {
    tick(fixture, state, now);
    open.push(!state.held.has(VERSION_KEY));
  }
  const share = open.filter(Boolean).length / open.length;
  assert.ok(share > 0 && share <= 0.2, `open for ${share}`);
  tick(fixture, state, 9_250);
  assert.equal(state.held.size, 0);
});

test("holder releases an unconfirmed hold", () => {
  const { fixture, state } = startHolder();
  const message = { type: "rollout/held", rollout: fixture.id, origin: "x1" };
  decideRollout(state, {
    type: "received",
    from: "x1",
    now: 1_000,
    message: message as never,
  });
  const sent: RolloutEffect[] = [];
  for (let now = 1_250; now <= 9_250; now += 250) {
    sent.push(...tick(fixture, state, now));
  }
  const releases = sent.filter((one) =>
    one.type === "send" && one.message.type === "rollout/release"
  );
  assert.equal(releases.length, 1);
});

test("failing version is rolled back and stays withdrawn", () => {
  const { fixture, state } = startHolder();
  const lease = fixture.config.leases.get(`rollout/${fixture.id}`);
  for (let now = 1_250; now < 8_000; now += 250) {
    for (let call = 0; call < 50; call++) answer(state, "v1");
    if (!state.held.has(VERSION_KEY)) answer(state, "v2", true);
    tick(fixture, state, now);
  }
  assert.equal(fixture.rollout().phase, "rolled-back");
  const reason = fixture.rollout().steps.at(-1)?.reason ?? "";
  assert.match(reason, /\d+ of \d+ calls failed .* old version's/);
  const late = fixture.append({
    kind: "rollout-step",
    rollout: fixture.id,
    term: lease?.term ?? 0,
    step: { type: "share", perMille: 1_000, reason: "late" },
  });
  assert.equal(late.type, "refused");
  assert.equal(fixture.edit("v2").type, "accepted");
  assert.equal(fixture.config.uses.get("basic/portaal")?.rollout, undefined);
});

test("fault of both versions causes no rollback", () => {
  const { fixture, state } = startHolder();
  for (let now = 1_250; now < 20_000; now += 250) {
    for (let call = 0; call < 20; call++) answer(state, "v1", call % 3 === 0);
    if (!state.held.has(VERSION_KEY)) answer(state, "v2", now % 750 === 0);
    tick(fixture, state, now);
  }
  assert.notEqual(fixture.rollout().phase, "rolled-back");
});

test("good version completes its rollout", () => {
  const { fixture, state } = startHolder();
  for (let now = 1_250; now < 40_000; now += 250) {
    const isAlone = fixture.rollout().perMille === 1_000;
    for (let call = 0; !isAlone && call < 20; call++) answer(state, "v1");
    for (let call = 0; call < 10; call++) answer(state, "v2");
    tick(fixture, state, now);
  }
  assert.equal(fixture.rollout().phase, "done");
});

test("lease is claimed only without heartbeats", () => {
  const { fixture } = startHolder();
  const { id: rollout } = fixture;
  const withoutHeartbeats = createNode("n2");
  const withHeartbeats = createNode("n3");
  const claims = new Map<RolloutState, number>();
  for (let now = 0; now <= 8_000; now += 250) {
    const message = { type: "rollout/leading", rollout, term: 1 } as const;
    decideRollout(withHeartbeats, {
      type: "received",
      from: "n1",
      now,
      message,
    });
    for (const node of [withoutHeartbeats, withHeartbeats]) {
      const effects = decideRollout(node, fixture.tick(node, now));
      if (types(effects).includes("lease")) claims.set(node, now);
    }
  }
  assert.ok((claims.get(withoutHeartbeats) ?? 0) > 5_000);
  assert.equal(claims.has(withHeartbeats), false);
});

test("competing readers claim at different times", () => {
  const fixture = createRolloutFixture();
  const readers = ["n1", "n2"].map((id) => ({ id, boot: "b1" }));
  const claims = readers.map(({ id }) => {
    const node = createNode(id);
    for (let now = 0; now < 9_000; now += 250) {
      const event = fixture.tick(node, now, { readers });
      if (types(decideRollout(node, event)).includes("lease")) return now;
    }
    return Infinity;
  });
  assert.deepEqual(claims, [0, 1_500]);
});

test("restarted holder claims a new term", () => {
  const { fixture } = startHolder();
  const restarted = createNode("n1", "b2");
  assert.ok(types(tick(fixture, restarted, 0)).includes("lease"));
  const term = fixture.config.leases.get(`rollout/${fixture.id}`)?.term;
  assert.equal(term, 2);
});

test("paused holder needs new evidence", () => {
  const { fixture, state } = startHolder();
  for (let call = 0; call < 200; call++) answer(state, "v2");
  // The holder pauses when all other conditions for the next share are met.
  for (let now = 60_000; now < 70_000; now += 250) tick(fixture, state, now);
  assert.equal(fixture.rollout().perMille, 20);
});

test("holder appends only one step while the log gives no verdict", () => {
  const { fixture, state } = startHolder();
  let stepsSent = 0;
  for (let now = 1_250; now < 30_000; now += 250) {
    for (let call = 0; call < 20; call++) answer(state, "v1");
    for (let call = 0; call < 10; call++) answer(state, "v2");
    const effects = decideRollout(state, fixture.tick(state, now));
    stepsSent += types(effects).filter((one) => one === "rollout-step").length;
  }
  assert.equal(stepsSent, 1);
  assert.equal(fixture.rollout().perMille, 20);
});

test("rollout is blocked while it has no upstreams", () => {
  const fixture = createRolloutFixture();
  const state = createNode();
  const absent = { present: new Set() };
  for (let now = 0; now <= 6_000; now += 250) {
    tick(fixture, state, now, absent);
  }
  assert.equal(fixture.rollout().phase, "blocked");
  assert.match(fixture.rollout().steps.at(-1)?.reason ?? "", /No upstream/);
  tick(fixture, state, 6_250);
  assert.equal(fixture.rollout().perMille, 20);
});

test("overdue calls hold the version before they time out", () => {
  const { fixture, state } = startHolder();
  for (let call = 0; call < 200; call++) answer(state, "v1");
  const about = { service: "portaal", version: "v2", route: "accounts" };
  for (let now = 1_250; now <= 3_000; now += 250) {
    decideRollout(state, { type: "begun", call: now, ...about, now });
    tick(fixture, state, now);
  }
  assert.ok(state.held.has(VERSION_KEY));
});

test("share rises only by folded steps of the holder", () => {
  const ticks = fc.array(
    fc.record({
      calls: fc.nat(30),
      failShare: fc.constantFrom(0, 0, 0, 0.1, 1),
      isLogUnreachable: fc.boolean(),
      gapMs: fc.constantFrom(250, 250, 250, 4_000),
    }),
    { maxLength: 120 },
  );
  const property = fc.property(ticks, (inputs) => {
    const fixture = createRolloutFixture();
    const state = createNode();
    let now = 0;
    let before = 0;
    for (const { calls, failShare, isLogUnreachable, gapMs } of inputs) {
      now += gapMs;
      for (let call = 0; call < calls; call++) {
        answer(state, "v1");
        answer(state, "v2", call < calls * failShare);
      }
      const lease = fixture.config.leases.get(`rollout/${fixture.id}`);
      const event = fixture.tick(state, now);
      for (const effect of decideRollout(state, event)) {
        if (effect.type !== "append" || isLogUnreachable) continue;
        const { record } = effect;
        if (record.kind === "rollout-step") {
          assert.equal(lease?.holder, state.self);
          assert.equal(record.term, lease?.term);
        }
        fixture.append(record);
        decideRollout(state, { type: "settled", rollout: fixture.id });
      }
      const { perMille, phase } = fixture.rollout();
      if (before === 0) assert.ok(perMille <= 20);
      if (phase === "rolled-back") assert.equal(perMille, 0);
      const served = {
        plan: "basic",
        service: "portaal",
        rules: [],
        routes: [],
        split: {
          stable: "v1",
          candidate: { rollout: fixture.id, version: "v2", perMille },
        },
      };
      const { held } = state;
      const isHeld = held.has(VERSION_KEY) || perMille === 0;
      const version = chooseVersion({ served, held, random: 0 });
      if (isHeld) assert.equal(version, "v1");
      before = perMille;
    }
  });
  checkProperty(property, { runs: 60 });
});
