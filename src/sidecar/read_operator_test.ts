import { test } from "node:test";
import assert from "node:assert/strict";
import { err, ok } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import type { KeyedRecord } from "../store/state.ts";
import { createOperatorReader } from "./read_operator.ts";

const REJECTED: LagoonError = {
  code: "LAGOON_OPERATOR_RECORD_INVALID",
  step: "decode",
  message: "broken",
};

/** Reader whose evacuations have the keys `out/DOMAIN`. */
function createTestReader() {
  const evacuated = new Set<string>();
  const reader = createOperatorReader({
    platform: {
      decodeOperatorRecord: ({ key, value }) =>
        value?.toString() === "broken" ? err(REJECTED) : ok(
          key.startsWith("out/")
            ? {
              type: "evacuation",
              domain: key.slice(4),
              isActive: value !== undefined,
            }
            : { type: "other" },
        ),
    },
    log: { write: () => {}, close: () => {} },
    onTable: () => {},
    onOrder: () => {},
    onEvacuation: (domain, isActive) =>
      isActive ? evacuated.add(domain) : evacuated.delete(domain),
  });
  return { reader, evacuated };
}

/** Sends a peer what it lacks, as nodes do. */
function exchange(
  from: ReturnType<typeof createTestReader>,
  to: ReturnType<typeof createTestReader>,
) {
  const { records, end, from: begin } = from.reader.since(to.reader.end());
  to.reader.applyRecords(records, end, begin < 0);
}

function recordOf(key: string, text: string | undefined = "{}"): KeyedRecord {
  return { key, value: text === undefined ? undefined : Buffer.from(text) };
}

const REMOVAL: KeyedRecord = { key: "out/d1", value: undefined };

test("record without a value ends the evacuation", () => {
  const { reader, evacuated } = createTestReader();
  reader.applyRecords([recordOf("a"), recordOf("out/d1")], 2, true);
  assert.deepEqual([...evacuated], ["d1"]);
  reader.applyRecords([REMOVAL], 3, false);
  assert.deepEqual([...evacuated], []);
});

// Guards against an evacuation that never ends at a node that was cut off while
// its record was removed and dropped by the store.
test("complete read that lacks the key ends the evacuation", () => {
  const { reader, evacuated } = createTestReader();
  reader.applyRecords([recordOf("out/d1"), recordOf("out/d2")], 2, true);
  reader.applyRecords([recordOf("b")], 3, false);
  assert.deepEqual([...evacuated].sort(), ["d1", "d2"]);
  reader.applyRecords([recordOf("b"), recordOf("out/d2")], 9, true);
  assert.deepEqual([...evacuated], ["d2"]);
});

test("peer that joins late learns the evacuation and its end", () => {
  const first = createTestReader();
  first.reader.applyRecords([recordOf("out/d1")], 1, true);
  const second = createTestReader();
  exchange(first, second);
  assert.deepEqual([...second.evacuated], ["d1"]);
  first.reader.applyRecords([REMOVAL], 2, false);
  const third = createTestReader();
  exchange(first, third);
  exchange(first, second);
  assert.deepEqual([...second.evacuated, ...third.evacuated], []);
});

// Guards against an evacuation that stays at nodes whose peers never read its
// removal either.
test("peer learns of an end that only a complete read showed", () => {
  const first = createTestReader();
  first.reader.applyRecords([recordOf("out/d1")], 1, true);
  const cutOff = createTestReader();
  exchange(first, cutOff);
  first.reader.applyRecords([recordOf("b")], 5, true);
  const started = createTestReader();
  started.reader.applyRecords([recordOf("b")], 5, true);
  for (const source of [first, started]) {
    const peer = createTestReader();
    exchange(cutOff, peer);
    assert.deepEqual([...peer.evacuated], ["d1"]);
    exchange(source, peer);
    assert.deepEqual([...peer.evacuated], []);
  }
});

// Guards against a peer that takes a record that this node rejected for one
// that is gone.
test("rejected record of an evacuation does not end it at peers", () => {
  const first = createTestReader();
  first.reader.applyRecords([recordOf("out/d1")], 1, true);
  const second = createTestReader();
  exchange(first, second);
  first.reader.applyRecords([recordOf("out/d1", "broken")], 5, true);
  exchange(first, second);
  assert.equal(second.reader.end(), 5);
  assert.deepEqual([...first.evacuated, ...second.evacuated], ["d1", "d1"]);
});
