import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { createClaimsSimulation } from "../testing/create_claims_simulation.ts";
import {
  createClaimReaderState,
  decideClaimReader,
  MAX_HELD_CLAIMS,
} from "./decide_claim_reader.ts";

const step = fc.tuple(fc.nat(15), fc.nat(97), fc.nat(5));

function play(steps: readonly [number, number, number][], retains: boolean) {
  const world = createClaimsSimulation();
  world.calm();
  for (const [kind, pick, detail] of steps) {
    if (kind < 3) world.ask(pick % 3, `k${detail % 2}`);
    else if (kind < 7) world.deliver(pick, false);
    else if (kind === 7) world.deliver(pick, true);
    else if (kind === 8) world.drop(pick);
    else if (kind < 11) world.land(pick, detail === 0);
    else if (kind < 13) world.read(pick % 2);
    else if (kind === 13) world.endRun(pick, detail);
    else if (kind === 14) world.pass(detail * 60);
    else if (detail === 0) world.startReader(pick % 2);
    else if (detail === 1) world.startNode(pick % 3);
    else if (detail === 2) world.turnOutage();
    else if (retains) world.retain(pick % 4);
    else world.calm();
  }
  return world;
}

function checkWorld(steps: readonly [number, number, number][]) {
  const world = play(steps, false);
  world.calm();
  for (const key of ["k0", "k1"]) {
    const ran = world.runs.filter((one) =>
      one.key === key && one.outcome !== "not-run"
    );
    assert.ok(ran.length <= 1, `${key} ran ${ran.length} times`);
    const first = ran[0]?.outcome;
    for (const repeat of world.repeats) {
      if (repeat.key === key) assert.deepEqual(repeat.outcome, first);
    }
  }
  const ran = new Set(world.runs.map((one) => one.attempt));
  for (const attempt of world.notRun) assert.ok(!ran.has(attempt));
}

test("at most one run under any order of faults", () => {
  checkProperty(
    fc.property(
      fc.array(step, { minLength: 40, maxLength: 160 }),
      (steps) => checkWorld(steps as [number, number, number][]),
    ),
    { runs: 400 },
  );
});

test("at most one run within retention", () => {
  checkProperty(
    fc.property(
      fc.array(step, { minLength: 40, maxLength: 200 }),
      (steps) => {
        play(steps as [number, number, number][], true).calm();
      },
    ),
    { runs: 600 },
  );
});

test("resend gets the first outcome", () => {
  const world = createClaimsSimulation();
  world.calm();
  world.ask(0, "k0");
  world.calm();
  world.endRun(0, 2);
  world.calm();
  world.ask(1, "k0");
  world.calm();
  assert.equal(world.runs.length, 1);
  assert.deepEqual(world.repeats[0]?.outcome, world.runs[0]?.outcome);
});

test("dead claimant leaves the key ambiguous", () => {
  const world = createClaimsSimulation();
  world.calm();
  world.ask(0, "k0");
  world.calm();
  world.startNode(0);
  for (const index of [0, 1]) world.startReader(index);
  world.calm();
  world.ask(1, "k0");
  world.calm();
  assert.equal(world.runs.length, 1);
  assert.equal(world.notRun.size, 0);
});

test("release lets a resend run", () => {
  const world = createClaimsSimulation();
  world.calm();
  world.ask(0, "k0");
  world.calm();
  world.endRun(0, 0);
  world.calm();
  world.ask(1, "k0");
  world.calm();
  assert.equal(world.runs.length, 2);
});

test("outage refuses as not run", () => {
  const world = createClaimsSimulation();
  world.calm();
  world.turnOutage();
  world.ask(0, "k0");
  for (let round = 0; round < 30; round++) {
    world.pass(100);
    world.land(0, false);
    world.deliver(0, false);
  }
  assert.equal(world.notRun.size, 1);
  world.calm();
  assert.equal(world.nodes[0]?.attempts.size, 0);
  world.ask(1, "k0");
  world.calm();
  assert.equal(world.runs.length, 1);
});

test("full reader refuses new keys", () => {
  const reader = createClaimReaderState("w");
  reader.isReady = true;
  const items = Array.from({ length: MAX_HELD_CLAIMS }, (_, index) => ({
    type: "claim",
    key: `k${index}`,
    attempt: `a${index}`,
    digest: "d",
    leftMs: 1,
  }));
  const body = JSON.stringify({ writer: "other", floor: 1, items });
  const records = [{ offset: 1, body }];
  decideClaimReader(reader, { type: "read", records, oldest: 1, now: 0 });
  const claim = {
    type: "claim",
    key: "new",
    attempt: "b",
    digest: "d",
    leftMs: 1,
  } as const;
  const message = { type: "once/claim", claim } as const;
  const event = { type: "received", from: "n", message, now: 0 } as const;
  const [effect] = decideClaimReader(reader, event);
  assert.ok(effect?.type === "send");
  assert.ok(effect.message.type === "once/verdict");
  assert.equal(effect.message.verdict.type, "away");
});

test("other request with the key is refused", () => {
  const reader = createClaimReaderState("w");
  reader.isReady = true;
  const body = (attempt: string, digest: string) => ({
    type: "claim" as const,
    key: "k",
    attempt,
    digest,
    leftMs: 1,
  });
  const items = [body("a", "one")];
  const record = JSON.stringify({ writer: "other", floor: 1, items });
  const records = [{ offset: 1, body: record }];
  decideClaimReader(reader, { type: "read", records, oldest: 1, now: 0 });
  const message = { type: "once/claim", claim: body("b", "two") } as const;
  const event = { type: "received", from: "n", message, now: 0 } as const;
  const [effect] = decideClaimReader(reader, event);
  assert.ok(effect?.type === "send");
  assert.ok(effect.message.type === "once/verdict");
  assert.equal(effect.message.verdict.type, "mismatch");
});
