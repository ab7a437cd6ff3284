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

const key = "portaal@v2";

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

/** Ticks, and folds what the node appends. */
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

/** A holder whose rollout has its first share. */
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
  const quiet = { readers: [{ id: "n1", boot: "b1" }] };
  tick(fixture, node, 0, quiet);
  for (let call = 0; call < 100; call++) answer(node, "v1");
  let heldAt: number | undefined;
  for (let now = 250; now <= 2_000; now += 250) {
    if (heldAt === undefined) answer(node, "v2", true);
    const effects = tick(fixture, node, now, quiet);
    if (!types(effects).includes("hold-changed")) continue;
    heldAt = now;
    assert.deepEqual(types(effects), ["send", "hold-changed", "send"]);
  }
  assert.ok(heldAt !== undefined && node.held.has(key));
  assert.equal(fixture.rollout().perMille, 20);
});

test("one stall decides nothing", () => {
  const { fixture } = startHolder();
  const node = createNode("n2");
  tick(fixture, node, 0);
  for (let call = 0; call < 100; call++) answer(node, "v1");
  for (let call = 0; call < 20; call++) answer(node, "v2", true);
  tick(fixture, node, 250);
  assert.equal(node.held.size, 0);
});

test("domain follows a hold at once", () => {
  const { fixture, state } = startHolder();
  const { id: rollout } = fixture;
  const message = { type: "rollout/hold", rollout, origin: "n2", reason: "r" };
  decideRollout(state, {
    type: "received",
    from: "n2",
    now: 1_100,
    message: message as never,
  });
  assert.ok(state.held.has(key));
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
    open.push(!state.held.has(key));
  }
  const share = open.filter(Boolean).length / open.length;
  assert.ok(share > 0 && share <= 0.2, `open for ${share}`);
  tick(fixture, state, 9_250);
  assert.equal(state.held.size, 0);
});

test("holder releases a hold that nothing confirms", () => {
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

test("failing version is taken back for good", () => {
  const { fixture, state } = startHolder();
  const lease = fixture.config.leases.get(`rollout/${fixture.id}`);
  for (let now = 1_250; now < 8_000; now += 250) {
    for (let call = 0; call < 50; call++) answer(state, "v1");
    if (!state.held.has(key)) answer(state, "v2", true);
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

test("old version failing too leaves the new one alone", () => {
  const { fixture, state } = startHolder();
  for (let now = 1_250; now < 20_000; now += 250) {
    for (let call = 0; call < 20; call++) answer(state, "v1", call % 3 === 0);
    if (!state.held.has(key)) answer(state, "v2", now % 750 === 0);
    tick(fixture, state, now);
  }
  assert.notEqual(fixture.rollout().phase, "rolled-back");
});

test("good version is done", () => {
  const { fixture, state } = startHolder();
  for (let now = 1_250; now < 40_000; now += 250) {
    const isAlone = fixture.rollout().perMille === 1_000;
    for (let call = 0; !isAlone && call < 20; call++) answer(state, "v1");
    for (let call = 0; call < 10; call++) answer(state, "v2");
    tick(fixture, state, now);
  }
  assert.equal(fixture.rollout().phase, "done");
});

test("silent holder loses the lease, a living one does not", () => {
  const { fixture } = startHolder();
  const { id: rollout } = fixture;
  const deaf = createNode("n2");
  const hearing = createNode("n3");
  const claims = new Map<RolloutState, number>();
  for (let now = 0; now <= 8_000; now += 250) {
    const message = { type: "rollout/leading", rollout, term: 1 } as const;
    decideRollout(hearing, { type: "received", from: "n1", now, message });
    for (const node of [deaf, hearing]) {
      const effects = decideRollout(node, fixture.tick(node, now));
      if (types(effects).includes("lease")) claims.set(node, now);
    }
  }
  assert.ok((claims.get(deaf) ?? 0) > 5_000);
  assert.equal(claims.has(hearing), false);
});

test("rival readers claim at different times", () => {
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

test("restarted holder claims anew", () => {
  const { fixture } = startHolder();
  const restarted = createNode("n1", "b2");
  assert.ok(types(tick(fixture, restarted, 0)).includes("lease"));
  const term = fixture.config.leases.get(`rollout/${fixture.id}`)?.term;
  assert.equal(term, 2);
});

test("paused holder needs new evidence", () => {
  const { fixture, state } = startHolder();
  for (let call = 0; call < 200; call++) answer(state, "v2");
  // Paused while everything else was ready for the next share.
  for (let now = 60_000; now < 70_000; now += 250) tick(fixture, state, now);
  assert.equal(fixture.rollout().perMille, 20);
});

test("holder without the log sends one step", () => {
  const { fixture, state } = startHolder();
  let steps = 0;
  for (let now = 1_250; now < 30_000; now += 250) {
    for (let call = 0; call < 20; call++) answer(state, "v1");
    for (let call = 0; call < 10; call++) answer(state, "v2");
    const effects = decideRollout(state, fixture.tick(state, now));
    steps += types(effects).filter((one) => one === "rollout-step").length;
  }
  assert.equal(steps, 1);
  assert.equal(fixture.rollout().perMille, 20);
});

test("rollout without upstreams is blocked until they come", () => {
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

test("hangs show before their time-out", () => {
  const { fixture, state } = startHolder();
  for (let call = 0; call < 200; call++) answer(state, "v1");
  const about = { service: "portaal", version: "v2", route: "accounts" };
  for (let now = 1_250; now <= 3_000; now += 250) {
    decideRollout(state, { type: "begun", call: now, ...about, now });
    tick(fixture, state, now);
  }
  assert.ok(state.held.has(key));
});

test("share rises by the holder's folded steps alone", () => {
  const ticks = fc.array(
    fc.record({
      calls: fc.nat(30),
      failShare: fc.constantFrom(0, 0, 0, 0.1, 1),
      isLogOut: fc.boolean(),
      gapMs: fc.constantFrom(250, 250, 250, 4_000),
    }),
    { maxLength: 120 },
  );
  const property = fc.property(ticks, (steps) => {
    const fixture = createRolloutFixture();
    const state = createNode();
    let now = 0;
    let before = 0;
    for (const { calls, failShare, isLogOut, gapMs } of steps) {
      now += gapMs;
      for (let call = 0; call < calls; call++) {
        answer(state, "v1");
        answer(state, "v2", call < calls * failShare);
      }
      const lease = fixture.config.leases.get(`rollout/${fixture.id}`);
      const event = fixture.tick(state, now);
      for (const effect of decideRollout(state, event)) {
        if (effect.type !== "append" || isLogOut) continue;
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
      const isHeld = held.has(key) || perMille === 0;
      const version = chooseVersion({ served, held, random: 0 });
      if (isHeld) assert.equal(version, "v1");
      before = perMille;
    }
  });
  checkProperty(property, { runs: 60 });
});
