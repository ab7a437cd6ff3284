import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { offeredCall } from "../testing/offered_call.ts";
import { checkProperty } from "../testing/check_property.ts";
import { countChain, CRASHES_TO_REFUSE } from "./crash_chain.ts";
import {
  createSuspectsState,
  decideSuspects,
  isQuarantined,
  maySuspect,
  quarantinedRows,
  type SuspectsEffect,
  type SuspectsState,
} from "./decide_suspects.ts";
import { fingerprintOfCall } from "./fingerprint_of.ts";
import { rowOf, SUSPECT_TTL_MS } from "./merge_row.ts";
import type { SuspectRow } from "./messages.ts";

const FINGERPRINT = "f-1";

/** Crashes the node's endpoint during a run of each fingerprint. */
function crash(
  state: SuspectsState,
  fingerprints: readonly string[] = [FINGERPRINT],
  now = 0,
) {
  const runs = fingerprints.map((fingerprint) => ({
    fingerprint,
    crashes: countChain(rowOf(state, fingerprint)),
  }));
  return decideSuspects(state, { type: "crashed", runs, now });
}

function answer(state: SuspectsState, fingerprint = FINGERPRINT) {
  return decideSuspects(state, { type: "answered", fingerprint, now: 0 });
}

function rowsOf(effects: readonly SuspectsEffect[]): readonly SuspectRow[] {
  return effects.flatMap((effect) =>
    effect.type === "forward" ? effect.rows : []
  );
}

function deliver(effects: readonly SuspectsEffect[], to: SuspectsState) {
  const rows = rowsOf(effects);
  const from = "10.0.0.9:1";
  return decideSuspects(to, { type: "received", rows, from, now: 0 });
}

// A request that crashed every endpoint that ran it was sent on and on.
test("request that crashes endpoints one after the other is refused", () => {
  const nodes = ["a", "b", "c", "d"].map(createSuspectsState);
  for (const node of nodes.slice(0, CRASHES_TO_REFUSE)) {
    assert.ok(nodes.every((one) => !isQuarantined(one, FINGERPRINT)));
    const effects = crash(node);
    for (const other of nodes) if (other !== node) deliver(effects, other);
  }
  assert.ok(nodes.every((one) => isQuarantined(one, FINGERPRINT)));
});

// All endpoints of an earlier version end at the same moment, with all that
// they run.
test("crashes at the same moment count once", () => {
  const nodes = ["a", "b", "c", "d", "e"].map(createSuspectsState);
  const all = nodes.map((node) => crash(node));
  for (const node of nodes) for (const effects of all) deliver(effects, node);
  for (const node of nodes) {
    assert.equal(countChain(rowOf(node, FINGERPRINT)), 1);
  }
});

test("request that is answered meanwhile is not refused", () => {
  const state = createSuspectsState("a");
  for (let count = 0; count < 20; count++) {
    crash(state, ["bad", "good"]);
    answer(state, "good");
  }
  assert.equal(isQuarantined(state, "bad"), true);
  assert.equal(isQuarantined(state, "good"), false);
});

test("complete answer clears a request on all nodes", () => {
  const [one, two] = [createSuspectsState("a"), createSuspectsState("b")];
  deliver(crash(one), two);
  deliver(answer(two), one);
  assert.equal(countChain(rowOf(one, FINGERPRINT)), 0);
  assert.deepEqual(answer(two), []);
});

test("rows are forwarded once, and not to their sender", () => {
  const [one, two] = [createSuspectsState("a"), createSuspectsState("b")];
  const effects = crash(one);
  assert.deepEqual(deliver(effects, two), [{
    type: "forward",
    rows: rowsOf(effects),
    except: "10.0.0.9:1",
  }]);
  assert.deepEqual(deliver(effects, two), []);
});

test("quarantine is reported once, and ends when its row expires", () => {
  const state = createSuspectsState("a");
  const reports = [1, 2, 3, 4].map(() =>
    crash(state).filter((effect) => effect.type === "quarantined").length
  );
  assert.deepEqual(reports, [0, 0, 1, 0]);
  assert.equal(quarantinedRows(state).length, 1);
  crash(state, ["other"], SUSPECT_TTL_MS);
  assert.equal(isQuarantined(state, FINGERPRINT), false);
});

test("nodes agree on a chain in any order of rows", () => {
  const order = fc.shuffledSubarray([0, 1, 2, 3, 4, 5], { minLength: 6 });
  checkProperty(
    fc.property(order, (shuffled) => {
      const source = createSuspectsState("a");
      const all = [0, 1, 2, 3].map(() => crash(source));
      all.splice(2, 0, answer(source));
      all.push(crash(source));
      const other = createSuspectsState("b");
      for (const index of shuffled) deliver(all[index] ?? [], other);
      assert.equal(
        countChain(rowOf(other, FINGERPRINT)),
        countChain(rowOf(source, FINGERPRINT)),
      );
    }),
    { runs: 200 },
  );
});

test("only calls with the target of a suspect are digested", () => {
  const state = createSuspectsState("a");
  const fingerprint = fingerprintOfCall(offeredCall({ target: "/bad" }));
  assert.ok(fingerprint);
  assert.equal(maySuspect(state, "/bad"), false);
  crash(state, [fingerprint]);
  assert.equal(maySuspect(state, "/bad"), true);
  assert.equal(maySuspect(state, "/good"), false);
  answer(state, fingerprint);
  assert.equal(maySuspect(state, "/bad"), false);
  crash(state, [fingerprint]);
  crash(state, ["other"], SUSPECT_TTL_MS);
  assert.equal(maySuspect(state, "/bad"), false);
});
