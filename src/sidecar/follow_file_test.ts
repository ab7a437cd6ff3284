import { mkdtempSync, rmSync, writeFileSync } from "node:fs";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { test } from "node:test";
import assert from "node:assert/strict";
import { followFile } from "./follow_file.ts";

test("a change of a file is found without a signal", async (t) => {
  const dir = mkdtempSync(join(tmpdir(), "lagoon-"));
  t.after(() => rmSync(dir, { recursive: true }));
  const path = join(dir, "settings.json");
  writeFileSync(path, "1");
  let text = "1";
  const changed = new Promise<void>((resolve) => {
    const follower = followFile({ path, pollMs: 20, onChange: resolve });
    t.after(() => follower.close());
  });
  // Writes until a change is reported, since a write that precedes the first
  // check of the file is not detected.
  const writer = setInterval(() => writeFileSync(path, text += "1"), 30);
  t.after(() => clearInterval(writer));
  await changed;
  assert.ok(text.length > 1);
});
