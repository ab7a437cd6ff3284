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

function simulate(
  steps: readonly [number, number, number][],
  retains: boolean,
) {
  const simulation = createClaimsSimulation();
  simulation.deliverAll();
  for (const [kind, pick, detail] of steps) {
    if (kind < 3) simulation.claim(pick % 3, `k${detail % 2}`);
    else if (kind < 7) simulation.deliver(pick, false);
    else if (kind === 7) simulation.deliver(pick, true);
    else if (kind === 8) simulation.drop(pick);
    else if (kind < 11) simulation.completeAppend(pick, detail === 0);
    else if (kind < 13) simulation.read(pick % 2);
    else if (kind === 13) simulation.endRun(pick, detail);
    else if (kind === 14) simulation.advance(detail * 60);
    else if (detail === 0) simulation.startReader(pick % 2);
    else if (detail === 1) simulation.startNode(pick % 3);
    else if (detail === 2) simulation.toggleOutage();
    else if (retains) simulation.keepNewest(pick % 4);
    else simulation.deliverAll();
  }
  return simulation;
}

function checkSimulation(steps: readonly [number, number, number][]) {
  const simulation = simulate(steps, false);
  simulation.deliverAll();
  for (const key of ["k0", "k1"]) {
    const ran = simulation.runs.filter((one) =>
      one.key === key && one.outcome !== "not-run"
    );
    assert.ok(ran.length <= 1, `${key} ran ${ran.length} times`);
    const first = ran[0]?.outcome;
    for (const repeat of simulation.repeats) {
      if (repeat.key === key) assert.deepEqual(repeat.outcome, first);
    }
  }
  const ran = new Set(simulation.runs.map((one) => one.attempt));
  for (const attempt of simulation.notRun) assert.ok(!ran.has(attempt));
}

test("key runs at most once in any order of faults", () => {
  checkProperty(
    fc.property(
      fc.array(step, { minLength: 40, maxLength: 160 }),
      (steps) => checkSimulation(steps as [number, number, number][]),
    ),
    { runs: 400 },
  );
});

test("key runs at most once while its records are retained", () => {
  checkProperty(
    fc.property(
      fc.array(step, { minLength: 40, maxLength: 200 }),
      (steps) => {
        simulate(steps as [number, number, number][], true).deliverAll();
      },
    ),
    { runs: 600 },
  );
});

test("resend gets the first outcome", () => {
  const simulation = createClaimsSimulation();
  simulation.deliverAll();
  simulation.claim(0, "k0");
  simulation.deliverAll();
  simulation.endRun(0, 2);
  simulation.deliverAll();
  simulation.claim(1, "k0");
  simulation.deliverAll();
  assert.equal(simulation.runs.length, 1);
  assert.deepEqual(simulation.repeats[0]?.outcome, simulation.runs[0]?.outcome);
});

test("key claimed by a restarted node does not run again", () => {
  const simulation = createClaimsSimulation();
  simulation.deliverAll();
  simulation.claim(0, "k0");
  simulation.deliverAll();
  simulation.startNode(0);
  for (const index of [0, 1]) simulation.startReader(index);
  simulation.deliverAll();
  simulation.claim(1, "k0");
  simulation.deliverAll();
  assert.equal(simulation.runs.length, 1);
  assert.equal(simulation.notRun.size, 0);
});

test("resend runs after the claim was released", () => {
  const simulation = createClaimsSimulation();
  simulation.deliverAll();
  simulation.claim(0, "k0");
  simulation.deliverAll();
  simulation.endRun(0, 0);
  simulation.deliverAll();
  simulation.claim(1, "k0");
  simulation.deliverAll();
  assert.equal(simulation.runs.length, 2);
});

test("call during a log outage is refused and marked as not run", () => {
  const simulation = createClaimsSimulation();
  simulation.deliverAll();
  simulation.toggleOutage();
  simulation.claim(0, "k0");
  for (let round = 0; round < 30; round++) {
    simulation.advance(100);
    simulation.completeAppend(0, false);
    simulation.deliver(0, false);
  }
  assert.equal(simulation.notRun.size, 1);
  simulation.deliverAll();
  assert.equal(simulation.nodes[0]?.attempts.size, 0);
  simulation.claim(1, "k0");
  simulation.deliverAll();
  assert.equal(simulation.runs.length, 1);
});

test("reader at its limit of held keys refuses new keys", () => {
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

test("another request with the same key is refused", () => {
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
