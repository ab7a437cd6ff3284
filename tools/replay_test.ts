import { test } from "node:test";
import assert from "node:assert/strict";
import { readdir } from "node:fs/promises";
import { checkTrace } from "../src/trace/check_trace.ts";
import { isTrace, readTrace } from "./traces/read_trace.ts";

const traceNames = (await readdir("traces")).filter(isTrace).sort();

const checkFile = async (
  name: string,
  change = (line: string) => line,
) => {
  const { lines, outcomes } = await readTrace(`traces/${name}`);
  return checkTrace({ file: name, lines: lines.map(change), outcomes });
};

test("recorded traces exist", () => assert.ok(traceNames.length > 0));

for (const name of traceNames) {
  test(`trace ${name}`, async () => {
    const result = await checkFile(name);
    assert.ok(result.isOk(), result.isErr() ? result.error.message : "");
  });
}

test("altered verdict is detected", async () => {
  const name = "racing-operators.jsonl.gz";
  const { lines } = await readTrace(`traces/${name}`);
  const at = lines.findIndex((line) =>
    line.includes('"slice":"config"') && line.includes('"type":"refused"')
  );
  const result = await checkFile(
    name,
    (line) =>
      line === lines[at]
        ? line.replace('"type":"refused"', '"type":"accepted"')
        : line,
  );
  const error = result._unsafeUnwrapErr();
  assert.equal(error.code, "LAGOON_TRACE_DIVERGED");
  assert.equal(error.step, `replay ${name}:${at + 1}`);
  assert.match(error.message, /config decided otherwise/);
});

test("missing outcome is detected", async () => {
  const { lines } = await readTrace("traces/racing-operators.jsonl.gz");
  const outcomes = ["crashes-at-most-two"];
  const error = checkTrace({ file: "f", lines, outcomes })._unsafeUnwrapErr();
  assert.match(error.message, /crashes-at-most-two is never seen/);
});
