import { test } from "node:test";
import assert from "node:assert/strict";
import { createConfigState } from "./create_config_state.ts";
import { decodeSnapshot } from "./decode_snapshot.ts";
import { encodeSnapshot } from "./encode_snapshot.ts";
import { foldRecord } from "./fold_record.ts";
import type { ConfigRecord } from "./messages.ts";
import type { ConfigState, Verdict } from "./state.ts";

const ROUTE = {
  name: "accounts",
  path: "/accounts",
  methods: ["GET"],
  repeatable: true,
  timeoutMs: 1_000,
};

function useChange(version: string, expected: number): ConfigRecord {
  return {
    kind: "edit",
    editor: "ann",
    changes: [{
      list: "uses",
      key: "basic/portaal",
      expected,
      value: {
        plan: "basic",
        service: "portaal",
        version,
        whenUnjudged: "proceed",
        routes: [ROUTE],
      },
    }],
  };
}

function fold(
  state: ConfigState,
  record: ConfigRecord,
  writer = `w${state.next}`,
): Verdict {
  const at = "2026-01-01T00:00:00Z";
  const body = JSON.stringify({ writer, seq: 1, at, record });
  return foldRecord({ state, record: { offset: state.next, body } });
}

function startRollout(): { state: ConfigState; id: string } {
  const state = createConfigState();
  fold(state, useChange("v1", 0));
  fold(state, useChange("v2", 1));
  return { state, id: "portaal@v2#2" };
}

function step(
  id: string,
  term: number,
  type: string,
  perMille = 20,
): ConfigRecord {
  const reason = "because";
  const step = type === "share" ? { type, perMille, reason } : { type, reason };
  return { kind: "rollout-step", rollout: id, term, step } as ConfigRecord;
}

function lease(id: string, term: number): ConfigRecord {
  return { kind: "lease", name: `rollout/${id}`, holder: "n1", term };
}

test("first of two racing edits wins", () => {
  const state = createConfigState();
  fold(state, useChange("v1", 0));
  assert.equal(fold(state, useChange("v2", 1)).type, "accepted");
  const before = encodeSnapshot(state);
  const verdict = fold(state, useChange("v3", 1));
  assert.equal(verdict.type, "refused");
  if (verdict.type !== "refused") return;
  assert.equal(verdict.code, "LAGOON_EDIT_CONFLICT");
  assert.match(verdict.reason, /expected revision 1, found 2; ann/);
  assert.equal(state.version, 2);
  assert.equal(state.uses.get("basic/portaal")?.asked, "v2");
  assert.notEqual(encodeSnapshot(state).hash, before.hash);
});

test("refusal of a late edit names who removed the entry", () => {
  const state = createConfigState();
  fold(state, useChange("v1", 0));
  const removal: ConfigRecord = {
    kind: "edit",
    editor: "bea",
    changes: [{
      list: "uses",
      key: "basic/portaal",
      expected: 1,
      value: null,
    }],
  };
  fold(state, removal);
  fold(state, useChange("v2", 1));
  assert.match(
    state.audit.at(-1)?.reason ?? "",
    /expected revision 1, found 0; bea removed it at 2$/,
  );
});

test("editor with a line break is refused", () => {
  const state = createConfigState();
  fold(state, { ...useChange("v1", 0), editor: "a\n9 b: c" } as ConfigRecord);
  assert.equal(state.uses.size, 0);
});

test("repeated record is dropped", () => {
  const state = createConfigState();
  fold(state, useChange("v1", 0), "w");
  assert.equal(fold(state, useChange("v1", 0), "w").type, "repeated");
});

test("customer of an unknown plan is refused", () => {
  const state = createConfigState();
  const verdict = fold(state, {
    kind: "edit",
    editor: "ann",
    changes: [{
      list: "customers",
      key: "baker",
      expected: 0,
      value: { customer: "baker", plan: "gold" },
    }],
  });
  assert.equal(verdict.type, "refused");
  assert.equal(state.customers.size, 0);
});

test("rollout runs to done", () => {
  const { state, id } = startRollout();
  fold(state, lease(id, 1));
  assert.equal(fold(state, step(id, 1, "share", 1000)).type, "refused");
  assert.equal(fold(state, step(id, 1, "share", 20)).type, "accepted");
  assert.equal(fold(state, step(id, 1, "share", 1000)).type, "accepted");
  for (const type of ["bake", "done"]) {
    assert.equal(fold(state, step(id, 1, type)).type, "accepted");
  }
  assert.equal(state.uses.get("basic/portaal")?.stable, "v2");
  assert.equal(state.rollouts.get(id)?.phase, "done");
  assert.equal(state.leases.size, 0);
});

test("step of an old term is refused", () => {
  const { state, id } = startRollout();
  fold(state, lease(id, 1));
  fold(state, lease(id, 2));
  const verdict = fold(state, step(id, 1, "share"));
  assert.ok(verdict.type === "refused");
  assert.equal(verdict.code, "LAGOON_LEASE_STALE_TERM");
  assert.equal(state.rollouts.get(id)?.perMille, 0);
});

test("withdrawn version is refused until reinstated", () => {
  const { state, id } = startRollout();
  fold(state, lease(id, 1));
  fold(state, step(id, 1, "rollback"));
  assert.equal(fold(state, step(id, 1, "share")).type, "refused");
  assert.equal(state.uses.get("basic/portaal")?.stable, "v1");
  assert.equal(fold(state, useChange("v1", 2)).type, "accepted");
  assert.equal(fold(state, useChange("v2", state.version)).type, "refused");
  const verdict = fold(state, {
    kind: "reinstate",
    editor: "ann",
    service: "portaal",
    version: "v2",
  });
  assert.equal(verdict.type, "accepted");
  assert.equal(fold(state, useChange("v2", 5)).type, "refused");
  assert.equal(fold(state, useChange("v2", 6)).type, "accepted");
});

test("decoded snapshot folds like the original state", () => {
  const { state, id } = startRollout();
  const copy = decodeSnapshot(encodeSnapshot(state))._unsafeUnwrap();
  fold(state, lease(id, 1));
  fold(copy, lease(id, 1));
  assert.deepEqual(encodeSnapshot(copy), encodeSnapshot(state));
});

test("corrupt snapshot is refused", () => {
  const { state } = startRollout();
  const snapshot = encodeSnapshot(state);
  const broken = { ...snapshot, data: snapshot.data.replace("a", "b") };
  assert.equal(decodeSnapshot(broken).isErr(), true);
});
