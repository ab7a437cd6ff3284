import { test } from "node:test";
import assert from "node:assert/strict";
import { createLog, LogLevel } from "./create_log.ts";

function logInto(lines: Record<string, unknown>[], now: () => number) {
  const stream = {
    write: (line: string) => void lines.push(JSON.parse(line)),
  };
  return createLog({ node: "n1", now, stream });
}

test("a line contains the part, node, text and fields", () => {
  const lines: Record<string, unknown>[] = [];
  const log = logInto(lines, () => 0);
  log.write("call", LogLevel.Warn, "refused", { id: "r-1" });
  const [line] = lines;
  assert.deepEqual(
    [line?.part, line?.node, line?.id, line?.msg],
    ["call", "n1", "r-1", "refused"],
  );
});

test("the rate of lines is limited and dropped lines are counted", () => {
  const lines: Record<string, unknown>[] = [];
  let now = 0;
  const log = logInto(lines, () => now);
  for (let n = 0; n < 500; n++) {
    log.write("call", LogLevel.Warn, "refused", { id: `r-${n}` });
  }
  assert.equal(lines.length, 20);
  now = 1_000;
  log.write("call", LogLevel.Warn, "refused", { id: "r-500" });
  assert.equal(lines.at(-2)?.left, 480);
});
