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
  if (key.startsWith("out/")) {
    const domain = key.slice("out/".length);
    return { type: "evacuation", domain, isActive: value !== undefined };
  }
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
  const evacuated = new Set<string>();
  const reader = createOperatorReader({
    platform: { decodeOperatorRecord: (one) => ok(decode(one)) },
    log: { write: () => {}, close: () => {} },
    onTable: ({ version }) => versions.push(version),
    onOrder: ({ target }) => targets.push(target),
    onEvacuation: (domain, isActive) =>
      isActive ? evacuated.add(domain) : evacuated.delete(domain),
  });
  const forwarded = () =>
    new Map(
      reader.since(-1).records.map(({ key, value }) => [key, `${value}`]),
    );
  return { reader, versions, targets, evacuated, forwarded };
}

test("older table of a restored store is neither used nor forwarded", () => {
  const { reader, versions, forwarded } = createReader();
  reader.applyRecords([record("config", "3")], positionOf(1, 10), true);
  reader.applyRecords([record("config", "7")], positionOf(1, 11), false);
  reader.applyRecords([record("config", "3")], positionOf(2, 4), true);
  assert.deepEqual(versions, [3, 7]);
  assert.equal(forwarded().get("config"), "7");
  reader.applyRecords([record("config", "8")], positionOf(2, 5), false);
  assert.deepEqual(versions, [3, 7, 8]);
  assert.equal(reader.end(), positionOf(2, 5));
});

test("order that was replaced does not come back with a restored store", () => {
  const { reader, targets, forwarded } = createReader();
  reader.applyRecords([record("one", "v2")], positionOf(1, 1), true);
  reader.applyRecords([record("one", "v3")], positionOf(1, 2), false);
  reader.applyRecords([record("one", "v2")], positionOf(2, 1), true);
  assert.deepEqual(targets, ["v2", "v3"]);
  assert.equal(forwarded().get("one"), "v3");
  reader.applyRecords([record("one", "v2")], positionOf(2, 2), false);
  assert.deepEqual(targets, ["v2", "v3", "v2"]);
});

test("record that a restored store lacks reaches a node that starts later", () => {
  const { reader, forwarded } = createReader();
  reader.applyRecords([record("config", "3")], positionOf(1, 1), true);
  reader.applyRecords([record("one", "v2")], positionOf(1, 2), false);
  reader.applyRecords([record("config", "7")], positionOf(1, 3), false);
  const copy = [record("config", "3")];
  reader.applyRecords(copy, positionOf(2, 1), true);
  reader.applyRecords(copy, positionOf(3, 1), true);
  assert.deepEqual([...forwarded().keys()].sort(), ["config", "one"]);

  const late = createReader();
  late.reader.applyRecords(copy, positionOf(3, 1), true);
  assert.ok(reader.end() > late.reader.end());
  const page = reader.since(late.reader.end());
  late.reader.applyRecords(page.records, page.end, page.from < 0);
  assert.deepEqual(late.versions, [3, 7]);
  assert.deepEqual(late.targets, ["v2"]);

  // What the operator writes again counts, and the nodes are not ahead any more.
  reader.applyRecords([record("config", "7")], positionOf(3, 2), false);
  reader.applyRecords([record("one", "v2")], positionOf(3, 3), false);
  assert.equal(reader.end(), positionOf(3, 3));
});

test("evacuation that a restored store lacks stays until its removal", () => {
  const { reader, evacuated } = createReader();
  reader.applyRecords([record("config", "3")], positionOf(1, 1), true);
  reader.applyRecords([record("out/d1", "{}")], positionOf(1, 2), false);
  reader.applyRecords([record("config", "3")], positionOf(2, 1), true);
  assert.deepEqual([...evacuated], ["d1"]);
  const removal = { key: "out/d1", value: undefined };
  reader.applyRecords([removal], positionOf(2, 2), false);
  assert.deepEqual([...evacuated], []);
});
