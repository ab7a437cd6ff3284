import { test } from "node:test";
import assert from "node:assert/strict";
import { decodeStopped, encodeStopped } from "./messages.ts";

test("record of stopped instances is read as written", () => {
  const stopped = [{ id: "i-1", bornAt: 1 }, { id: "é", bornAt: 2 }];
  const long = { id: "x".repeat(10_000), bornAt: 3 };
  const record = encodeStopped("10.0.0.1:7600", [...stopped, long]);
  assert.deepEqual(decodeStopped(record), stopped);
});

test("malformed record of stopped instances is not read", () => {
  const values = [
    "",
    "d1",
    "{}",
    "[1]",
    '[{"id":"i-1"}]',
    '[{"id":7,"bornAt":1}]',
    '[{"id":"i-1","bornAt":1e400}]',
    "[".repeat(100_000),
  ];
  for (const text of values) {
    const record = { key: "stopped/10.0.0.1:7600", value: Buffer.from(text) };
    assert.equal(decodeStopped(record), undefined, text.slice(0, 20));
  }
});
