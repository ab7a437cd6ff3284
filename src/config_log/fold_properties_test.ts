import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { arbitraryLog } from "../testing/arbitrary_records.ts";
import { checkProperty } from "../testing/check_property.ts";
import { createConfigState } from "./create_config_state.ts";
import { decodeSnapshot } from "./decode_snapshot.ts";
import { encodeSnapshot } from "./encode_snapshot.ts";
import { foldRecord } from "./fold_record.ts";
import type { LogRecord } from "./messages.ts";
import type { ConfigState } from "./state.ts";

const RUNS = 400;

function foldAll(records: readonly LogRecord[], state = createConfigState()) {
  for (const record of records) foldRecord({ state, record });
  return state;
}

/** Returns the part of the state that a refused record must not change. */
function withoutBookkeeping(state: ConfigState) {
  const { audit: _a, digest: _d, next: _n, writers: _w, ...rest } = state;
  return structuredClone(rest);
}

test("same records give the same state", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      assert.deepEqual(
        encodeSnapshot(foldAll(log)),
        encodeSnapshot(foldAll(log)),
      );
    }),
    { runs: 100 },
  );
});

test("snapshot and later records equal the full log", () => {
  checkProperty(
    fc.property(arbitraryLog, fc.array(fc.nat(39)), (log, cuts) => {
      let state = createConfigState();
      for (const record of log) {
        foldRecord({ state, record });
        if (!cuts.includes(record.offset)) continue;
        state = decodeSnapshot(encodeSnapshot(state))._unsafeUnwrap();
      }
      assert.deepEqual(encodeSnapshot(state), encodeSnapshot(foldAll(log)));
    }),
    { runs: RUNS },
  );
});

test("refused record changes only the audit trail", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      const state = createConfigState();
      for (const record of log) {
        const before = withoutBookkeeping(state);
        const verdict = foldRecord({ state, record });
        if (verdict.type === "accepted") continue;
        assert.deepEqual(withoutBookkeeping(state), before);
      }
    }),
    { runs: RUNS },
  );
});

test("accepted edit applies all its changes", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      const state = createConfigState();
      const expected = new Map<string, number>();
      for (const record of log) {
        const { type } = foldRecord({ state, record });
        const { changes = [] } = type === "accepted"
          ? JSON.parse(record.body).record
          : {};
        for (const { list, key, value } of changes) {
          if (value === null) expected.delete(`${list} ${key}`);
          else expected.set(`${list} ${key}`, record.offset);
        }
        const found = new Map([
          ...[...state.uses].map(([k, r]) => [`uses ${k}`, r.revision]),
          ...[...state.customers].map((
            [k, r],
          ) => [`customers ${k}`, r.revision]),
        ] as [string, number][]);
        assert.deepEqual(
          new Map([...found].sort()),
          new Map([...expected].sort()),
        );
      }
    }),
    { runs: 200 },
  );
});

test("configuration version never decreases", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      const state = createConfigState();
      for (const record of log) {
        const before = state.version;
        const { type } = foldRecord({ state, record });
        assert.ok([before, record.offset].includes(state.version));
        if (type !== "accepted") assert.equal(state.version, before);
      }
    }),
    { runs: RUNS },
  );
});

test("customers hold plans that exist", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      const state = foldAll(log);
      const plans = new Set([...state.uses.values()].map((row) => row.plan));
      for (const { entry } of state.customers.values()) {
        assert.ok(plans.has(entry.plan));
      }
    }),
    { runs: RUNS },
  );
});

test("refusal reason is the same after a snapshot", () => {
  const edit = (seq: number, changes: unknown[]) =>
    JSON.stringify({
      writer: "w",
      seq,
      at: "",
      record: { kind: "edit", editor: "eva", changes },
    });
  const hold = (customer: string) => ({
    list: "customers",
    key: customer,
    expected: 0,
    value: { customer, plan: "basic" },
  });
  const route = { name: "all", path: "/", methods: ["GET"] };
  const use = { plan: "basic", service: "s", version: "v1", routes: [route] };
  const key = "basic/s";
  const first = { list: "uses", key, expected: 0, value: use };
  const original = foldAll([
    { offset: 1, body: edit(1, [first, hold("bob"), hold("ann")]) },
  ]);
  const tail = { list: "uses", key, expected: 1, value: null };
  const copy = decodeSnapshot(encodeSnapshot(original))._unsafeUnwrap();
  for (const state of [original, copy]) {
    foldAll([{ offset: 2, body: edit(2, [tail]) }], state);
  }
  assert.match(copy.audit[1]?.reason ?? "", /customer ann/);
  assert.deepEqual(encodeSnapshot(copy), encodeSnapshot(original));
});

test("step needs the current term", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      const state = createConfigState();
      for (const record of log) {
        const terms = new Map([...state.leases].map(([k, l]) => [k, l.term]));
        if (foldRecord({ state, record }).type !== "accepted") continue;
        const { record: step } = JSON.parse(record.body);
        if (step.kind !== "rollout-step") continue;
        assert.equal(terms.get(`rollout/${step.rollout}`) ?? 0, step.term);
      }
    }),
    { runs: RUNS },
  );
});

test("repeated records of a writer change nothing", () => {
  checkProperty(
    fc.property(arbitraryLog, (log) => {
      const once = foldAll(log);
      const twice = foldAll(
        [...log, ...log].map(({ body }, at) => ({ offset: at + 1, body })),
      );
      assert.deepEqual(
        { ...withoutBookkeeping(twice) },
        { ...withoutBookkeeping(once) },
      );
    }),
    { runs: RUNS },
  );
});
