import { test } from "node:test";
import assert from "node:assert/strict";
import { readdir } from "node:fs/promises";
import { checkTrace } from "../src/trace/check_trace.ts";
import { isTrace, readTrace } from "./traces/read_trace.ts";

const names = (await readdir("traces")).filter(isTrace).sort();

const judgeFile = async (
  name: string,
  change = (line: string) => line,
) => {
  const { lines, outcomes } = await readTrace(`traces/${name}`);
  return checkTrace({ file: name, lines: lines.map(change), outcomes });
};

test("there are traces", () => assert.ok(names.length > 0));

for (const name of names) {
  test(`trace ${name}`, async () => {
    const judged = await judgeFile(name);
    assert.ok(judged.isOk(), judged.isErr() ? judged.error.message : "");
  });
}

test("tampered verdict is caught", async () => {
  const name = "racing-operators.jsonl.gz";
  const { lines } = await readTrace(`traces/${name}`);
  const at = lines.findIndex((line) =>
    line.includes('"slice":"config"') && line.includes('"type":"refused"')
  );
  const judged = await judgeFile(
    name,
    (line) =>
      line === lines[at]
        ? line.replace('"type":"refused"', '"type":"accepted"')
        : line,
  );
  const error = judged._unsafeUnwrapErr();
  assert.equal(error.code, "LAGOON_TRACE_DIVERGED");
  assert.equal(error.step, `replay ${name}:${at + 1}`);
  assert.match(error.message, /config decided otherwise/);
});

test("outcome never seen is caught", async () => {
  const { lines } = await readTrace("traces/racing-operators.jsonl.gz");
  const outcomes = ["crashes-at-most-two"];
  const error = checkTrace({ file: "f", lines, outcomes })._unsafeUnwrapErr();
  assert.match(error.message, /crashes-at-most-two is never seen/);
});
