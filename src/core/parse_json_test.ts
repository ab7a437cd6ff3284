import { test } from "node:test";
import assert from "node:assert/strict";
import { parseJson } from "./parse_json.ts";

test("text that is not JSON is parsed as undefined", () => {
  assert.deepEqual(parseJson('{"a":1}'), { a: 1 });
  assert.equal(parseJson('{"a":'), undefined);
  assert.equal(parseJson(""), undefined);
});
