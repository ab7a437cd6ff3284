import { test } from "node:test";
import assert from "node:assert/strict";
import type { RolloutStep } from "../config_log/messages.ts";
import type { Verdict } from "../config_log/state.ts";
import { compileConfig } from "../serving/compile_config.ts";
import { chooseVersion } from "../routing/choose_version.ts";
import { createDomainSimulation } from "../testing/create_domain_simulation.ts";
import {
  createRolloutFixture,
  START_WALL_MS,
} from "../testing/rollout_fixture.ts";
import { decideRollout } from "./decide_rollout.ts";
import type { RolloutMessage } from "./messages.ts";
import { planStep } from "./plan_step.ts";
import { createRolloutState } from "./state.ts";

const TAKE_OVER_BY = new Date(START_WALL_MS + 120_000).toISOString();
const GOOD_CALLS = { calls: 10, oldCalls: 20 };

test("rollout with few calls completes in time", () => {
  const domain = createDomainSimulation(["n1", "n2"], {
    takeOverBy: TAKE_OVER_BY,
  });
  while (domain.now() < 120_000) domain.tick({ oldCalls: 1 });
  const { phase, steps } = domain.fixture.rollout();
  assert.equal(phase, "done");
  assert.match(steps[1]?.reason ?? "", /too few to judge/);
});

test("rollout with few calls blocks if the entry says hold", () => {
  const fields = { takeOverBy: TAKE_OVER_BY, whenUnjudged: "hold" };
  const domain = createDomainSimulation(["n1", "n2"], fields);
  while (domain.now() < 150_000) domain.tick({ oldCalls: 1 });
  const { phase, perMille, steps } = domain.fixture.rollout();
  assert.deepEqual([phase, perMille], ["blocked", 20]);
  assert.match(steps.at(-1)?.reason ?? "", /says to hold/);
});

test("later edit ends the first rollout and its hold", () => {
  const domain = createDomainSimulation(["n1", "n2"]);
  while (domain.now() < 2_000) domain.tick(GOOD_CALLS);
  while (domain.now() < 2_500) domain.tick({ calls: 5, isFailing: true });
  const first = domain.fixture.rollout();
  assert.equal(domain.fixture.edit("v3").type, "accepted");
  const late = domain.fixture.append({
    kind: "rollout-step",
    rollout: first.id,
    term: 1,
    step: { type: "share", perMille: 1_000, reason: "late" },
  });
  assert.equal(late.type, "refused");
  domain.tick(GOOD_CALLS);
  for (const state of domain.nodes.values()) {
    assert.equal(state.tracks.has(first.id), false);
    assert.equal(state.held.has("portaal@v2"), false);
  }
});

test("partitioned domain holds the version and applies a later rollback", () => {
  const stale = createDomainSimulation(["n1", "n2"]);
  while (stale.now() < 2_000) stale.tick(GOOD_CALLS);
  const { config, id } = stale.fixture;
  const [, cutOff] = [...stale.nodes.values()];
  assert.ok(cutOff !== undefined);
  for (let now = 2_250; now < 6_000; now += 250) {
    for (let call = 0; call < 20; call++) {
      const outcome = call < 2 ? "failed" : "served";
      const version = call < 2 ? "v2" : "v1";
      const about = { service: "portaal", route: "accounts", latencyMs: 3 };
      const event = { type: "answered", ...about, version, outcome } as const;
      if (version === "v1" || cutOff.held.size === 0) {
        decideRollout(cutOff, event);
      }
    }
    decideRollout(cutOff, stale.fixture.tick(cutOff, now));
  }
  assert.ok(cutOff.held.has("portaal@v2"));
  assert.equal(stale.fixture.rollout().perMille, 20);
  stale.fixture.append({
    kind: "rollout-step",
    rollout: id,
    term: config.leases.get(`rollout/${id}`)?.term ?? 0,
    step: { type: "rollback", reason: "Found elsewhere." },
  });
  decideRollout(cutOff, stale.fixture.tick(cutOff, 6_250));
  assert.equal(cutOff.held.size, 0);
  const directory = {
    homes: () => [],
    remotes: () => [],
    isPresent: () => true,
  };
  const served = compileConfig({ state: config, directory })
    .services.get("basic/portaal");
  assert.ok(served !== undefined);
  const { held } = cutOff;
  assert.equal(chooseVersion({ served, held, random: 0 }), "v1");
});

test("release by a deposed holder does not end a hold", () => {
  const fixture = createRolloutFixture();
  const state = createRolloutState({ self: "n2", domain: "d1", boot: "b1" });
  const name = `rollout/${fixture.id}`;
  for (const term of [1, 2]) {
    fixture.append({ kind: "lease", name, holder: `h${term}`, term });
  }
  const readers = [{ id: "n9", boot: "b1" }];
  decideRollout(state, fixture.tick(state, 0, { readers }));
  const rollout = fixture.id;
  const hold = { type: "rollout/hold", rollout, origin: "n9", reason: "r" };
  const release = { type: "rollout/release", rollout, isProbed: false };
  const receive = (message: object) =>
    decideRollout(state, {
      type: "received",
      from: "h1",
      message: message as never,
      now: 100,
    });
  receive(hold);
  receive({ ...release, term: 1 });
  assert.ok(state.held.has("portaal@v2"));
  receive({ ...release, term: 2 });
  assert.equal(state.held.size, 0);
});

test("hold without a lease holder stays in force", () => {
  const fixture = createRolloutFixture();
  const state = createRolloutState({ self: "n2", domain: "d1", boot: "b1" });
  const readers = [{ id: "n9", boot: "b1" }];
  decideRollout(state, fixture.tick(state, 0, { readers }));
  decideRollout(state, {
    type: "received",
    from: "n9",
    now: 100,
    message: {
      type: "rollout/hold",
      rollout: fixture.id,
      origin: "n9",
      reason: "r",
    },
  });
  for (let now = 250; now < 60_000; now += 250) {
    decideRollout(state, fixture.tick(state, now, { readers }));
    assert.ok(state.held.has("portaal@v2"));
  }
});

for (const steps of [1, 2, 3, 4, 5, 6]) {
  for (const isPaused of [true, false]) {
    const failure = isPaused ? "paused" : "dead";
    test(`holder ${failure} after step ${steps} is replaced`, () => {
      const domain = createDomainSimulation(["n1", "n2", "n3"]);
      const { fixture } = domain;
      while (fixture.rollout().steps.length < steps) domain.tick(GOOD_CALLS);
      const lease = fixture.config.leases.get(`rollout/${fixture.id}`);
      assert.ok(lease !== undefined);
      const down = new Set([lease.holder]);
      const goneAt = domain.now();
      const isDown = () => !isPaused || domain.now() < goneAt + 10_000;
      while (domain.now() < goneAt + 60_000) {
        const newest = fixture.config.leases.get(`rollout/${fixture.id}`);
        if (newest !== undefined && domain.now() === goneAt + 9_000) {
          assert.ok(newest.term > lease.term);
        }
        domain.tick({ ...GOOD_CALLS, ...(isDown() ? { down } : {}) });
      }
      assert.equal(fixture.rollout().phase, "done");
      const refused = fixture.config.audit.filter((entry) =>
        entry.verdict === "refused"
      );
      assert.ok(refused.length <= 1);
    });
  }
}

test("fault is rolled back while a reader is down", () => {
  const domain = createDomainSimulation(["n1", "n2", "n3"]);
  const { fixture } = domain;
  while (fixture.rollout().steps.length < 2) domain.tick(GOOD_CALLS);
  const lease = fixture.config.leases.get(`rollout/${fixture.id}`);
  const reader = ["n1", "n2"].find((id) => id !== lease?.holder) ?? "";
  const down = new Set([reader]);
  const bad = { calls: 3, oldCalls: 20, isFailing: true, down };
  const until = domain.now() + 10_000;
  while (domain.now() < until) domain.tick(bad);
  assert.equal(fixture.rollout().phase, "rolled-back");
});

test("log accepts steps only in order", () => {
  const { fixture } = createDomainSimulation([]);
  const name = `rollout/${fixture.id}`;
  const claim = (term: number) =>
    fixture.append({ kind: "lease", name, holder: "n1", term });
  assert.equal(claim(2).type, "refused");
  assert.equal(claim(1).type, "accepted");
  assert.equal(claim(1).type, "refused");
  const step = (step: RolloutStep) =>
    fixture.append({
      kind: "rollout-step",
      rollout: fixture.id,
      term: 1,
      step,
    });
  const codeOf = (verdict: Verdict) =>
    verdict.type === "refused" ? verdict.code : verdict.type;
  const reason = "r";
  const order = "LAGOON_ROLLOUT_STEP_ORDER";
  assert.equal(codeOf(step({ type: "done", reason })), order);
  assert.equal(codeOf(step({ type: "bake", reason })), order);
  const share = (perMille: number) =>
    codeOf(step({ type: "share", perMille, reason }));
  assert.equal(share(21), order);
  assert.equal(share(20), "accepted");
  assert.equal(share(1_000), "accepted");
  assert.equal(codeOf(step({ type: "rollback", reason })), "accepted");
  assert.equal(share(20), "LAGOON_ROLLOUT_ENDED");
});

test("bake with too few calls blocks if the entry says hold", () => {
  const fixture = createRolloutFixture({
    takeOverBy: TAKE_OVER_BY,
    whenUnjudged: "hold",
  });
  const rollout = {
    ...fixture.rollout(),
    perMille: 1_000,
    phase: "baking",
  } as const;
  const step = planStep({
    rollout,
    analysis: { type: "unclear", isSuspect: false, calls: 3 },
    stageMs: 100_000,
    wall: START_WALL_MS + 118_000,
  });
  assert.equal(step?.type, "block");
});

test("held version gets no step, and another term's report is dropped", () => {
  const domain = createDomainSimulation(["n1", "n2"]);
  while (domain.now() < 2_000) domain.tick(GOOD_CALLS);
  const { fixture } = domain;
  const holder = domain.nodes.get("n1");
  const lead = holder?.tracks.get(fixture.id)?.leadership;
  assert.ok(holder !== undefined && lead !== undefined);
  const rollout = fixture.id;
  const receive = (message: RolloutMessage) =>
    decideRollout(holder, {
      type: "received",
      from: "x1",
      message,
      now: domain.now(),
    });
  const report = {
    rollout,
    level: "domain",
    source: "x1/b1/domain/1",
    seq: 1,
    domain: "d2",
    receiver: "n1#7",
    counts: [],
  } as const;
  receive({ type: "rollout/evidence", report });
  assert.equal(lead.inbox.sources.has(report.source), false);
  receive({
    type: "rollout/evidence",
    report: { ...report, receiver: "n1#1" },
  });
  assert.ok(lead.inbox.sources.has(report.source));
  receive({ type: "rollout/held", rollout, origin: "x5" });
  const before = fixture.rollout().steps.length;
  while (domain.now() < 9_000) domain.tick({ calls: 0, oldCalls: 20 });
  assert.equal(fixture.rollout().steps.length, before);
});

test("holder keeps the history of an ended rollout", () => {
  const domain = createDomainSimulation(["n1"]);
  const { fixture } = domain;
  while (fixture.rollout().phase !== "done") domain.tick(GOOD_CALLS);
  domain.tick(GOOD_CALLS);
  const kept = domain.nodes.get("n1")?.endedHistories.get(fixture.id);
  assert.ok((kept?.length ?? 0) > 5);
});
