import { test } from "node:test";
import assert from "node:assert/strict";
import { ok } from "neverthrow";
import { positionOf } from "../store/position.ts";
import type { KeyedRecord } from "../store/state.ts";
import { tableOf } from "../testing/route_tables.ts";
import type { OperatorRecord } from "./platform_port.ts";
import { createOperatorReader } from "./read_operator.ts";

const record = (key: string, value: string): KeyedRecord => ({
  key,
  value: Buffer.from(value),
});

/** Values of "config" are versions, others the targets of orders. */
function decode({ key, value }: KeyedRecord): OperatorRecord {
  const text = `${value}`;
  if (key === "config") {
    return { type: "table", table: tableOf(Number(text), { "/": "one" }) };
  }
  return {
    type: "order",
    order: { service: key, target: text, durationMs: 1_000 },
  };
}

function createReader() {
  const versions: number[] = [];
  const targets: string[] = [];
  const reader = createOperatorReader({
    platform: { decodeOperatorRecord: (one) => ok(decode(one)) },
    log: { write: () => {}, close: () => {} },
    onTable: ({ version }) => versions.push(version),
    onOrder: ({ target }) => targets.push(target),
  });
  const forwarded = () =>
    new Map(reader.since(-1).map(({ key, value }) => [key, `${value}`]));
  return { reader, versions, targets, forwarded };
}

test("older table of a restored store is neither used nor forwarded", () => {
  const { reader, versions, forwarded } = createReader();
  reader.applyRecords([record("config", "3")], positionOf(1, 10));
  reader.applyRecords([record("config", "7")], positionOf(1, 11));
  reader.applyRecords([record("config", "3")], positionOf(2, 4));
  assert.deepEqual(versions, [3, 7]);
  assert.equal(forwarded().get("config"), "7");
  reader.applyRecords([record("config", "8")], positionOf(2, 5));
  assert.deepEqual(versions, [3, 7, 8]);
  assert.equal(reader.end(), positionOf(2, 5));
});

test("order that was replaced does not come back with a restored store", () => {
  const { reader, targets, forwarded } = createReader();
  reader.applyRecords([record("one", "v2")], positionOf(1, 1));
  reader.applyRecords([record("one", "v3")], positionOf(1, 2));
  reader.applyRecords([record("one", "v2")], positionOf(2, 1));
  assert.deepEqual(targets, ["v2", "v3"]);
  assert.equal(forwarded().get("one"), "v3");
  reader.applyRecords([record("one", "v2")], positionOf(2, 2));
  assert.deepEqual(targets, ["v2", "v3", "v2"]);
});

test("record that a restored store lacks stays known to peers", () => {
  const { reader, forwarded } = createReader();
  reader.applyRecords([record("config", "3")], positionOf(1, 1));
  reader.applyRecords([record("one", "v2")], positionOf(1, 2));
  reader.applyRecords([record("config", "3")], positionOf(2, 1));
  reader.applyRecords([record("config", "3")], positionOf(3, 1));
  assert.deepEqual([...forwarded().keys()].sort(), ["config", "one"]);
  assert.equal(reader.end(), positionOf(3, 1));
});
