import { test } from "node:test";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { NOOP_RECORDER } from "../trace/create_recorder.ts";
import { openRecording } from "./open_recording.ts";

test("a restarted node appends to the recording", async (t) => {
  const dir = await mkdtemp(join(tmpdir(), "lagoon-record-"));
  t.after(() => rm(dir, { recursive: true }));
  const file = join(dir, "n.jsonl");
  for (const start of [1, 2]) {
    const { recorder, close } = openRecording({ file, node: "n" });
    recorder.traced("sum", () => [start])({}, {});
    await close();
  }
  const lines = (await readFile(file, "utf8")).trim().split("\n");
  const types = lines.map((line) => JSON.parse(line).type);
  assert.deepEqual(types, ["header", "decided", "header", "decided"]);
});

test("nothing is recorded without a file", () => {
  const { recorder } = openRecording({ file: undefined, node: "n" });
  assert.equal(recorder, NOOP_RECORDER);
});
