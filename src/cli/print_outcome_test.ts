import { test } from "node:test";
import assert from "node:assert/strict";
import { mkdtemp, rm, writeFile } from "node:fs/promises";
import { tmpdir } from "node:os";
import { join } from "node:path";
import { err, ok } from "neverthrow";
import type { CommandContext } from "./command.ts";
import { readListFiles } from "./read_list_files.ts";
import { printOutcome } from "./print_outcome.ts";
import { warnOfTimes } from "./warn_of_times.ts";

function recordOutput(input = "") {
  const lines: string[] = [];
  const context: CommandContext = {
    values: new Map(),
    print: (line) => lines.push(line),
    printError: (line) => lines.push(line),
    readInput: () => Promise.resolve(Buffer.from(input, "latin1")),
    wall: () => 0,
  };
  return { context, lines };
}

const what = "1 changes";

test("printed outcome of an unsettled edit says whether it may take effect", () => {
  const { context, lines } = recordOutput();
  const exitCodeFor = (mayTakeEffect: boolean) =>
    printOutcome({
      context,
      what,
      answer: ok({
        type: "unsettled",
        code: "LAGOON_APPEND_TIMEOUT",
        mayTakeEffect,
      }),
    }).code;
  assert.equal(exitCodeFor(true), 3);
  assert.match(lines.at(-1) ?? "", /may have taken effect.*audit/);
  assert.equal(exitCodeFor(false), 1);
  assert.match(lines.at(-1) ?? "", /did not and will not/);
});

test("printed refusal names offset, reason and code", () => {
  const { context, lines } = recordOutput();
  const reason = "entry uses/a/b: expected revision 1, found 2; ann changed it";
  const code = "LAGOON_EDIT_CONFLICT";
  const answer = ok({ type: "refused" as const, offset: 7, code, reason });
  assert.equal(printOutcome({ context, what, answer }).code, 1);
  assert.match(lines[0] ?? "", /at 7: .*found 2; ann .*LAGOON_EDIT_CONFLICT/);
});

test("lost answer exits as unknown, failed connection as failed", () => {
  const { context } = recordOutput();
  const exitCodeFor = (code: `LAGOON_${string}`) =>
    printOutcome({
      context,
      what,
      answer: err({ code, step: "", message: "" }),
    })
      .code;
  assert.equal(exitCodeFor("LAGOON_NODE_SILENT"), 3);
  assert.equal(exitCodeFor("LAGOON_NODE_UNREACHABLE"), 1);
});

test("lists are read from a directory and standard input", async (t) => {
  const dir = await mkdtemp(join(tmpdir(), "lagoon-"));
  t.after(() => rm(dir, { recursive: true }));
  await writeFile(join(dir, "a.yaml"), "customers: [{customer: a, plan: p}]\n");
  await writeFile(join(dir, "b.yml"), "customers: [{customer: b, plan: p}]\n");
  const { context } = recordOutput("customers: [{customer: c, plan: p}]\n");
  const lists = (await readListFiles(context, [dir, "-"]))._unsafeUnwrap();
  const names = lists.customers?.map((one) => one.customer);
  assert.deepEqual(names, ["a", "b", "c"]);
  assert.equal(lists.uses, undefined);
  const twice = await readListFiles(context, [dir, join(dir, "a.yaml")]);
  assert.match(twice._unsafeUnwrapErr()[0] ?? "", /customers\/a stands in/);
});

test("error names each unreadable file", async () => {
  const { context } = recordOutput("customers: \xff\n");
  const read = await readListFiles(context, ["-", "no-such-file.yaml"]);
  assert.deepEqual(read._unsafeUnwrapErr(), [
    "standard input: not UTF-8.",
    "no-such-file.yaml: can't be read.",
  ]);
});

test("implausible take-over times produce a warning", () => {
  const warn = (takeOverBy: string) =>
    warnOfTimes([{
      list: "uses",
      key: "a/b",
      expected: 0,
      value: {
        plan: "a",
        service: "b",
        version: "v1",
        takeOverBy,
        whenUnjudged: "proceed",
        routes: [],
      },
    }], Date.parse("2026-06-01T00:00:00Z"));
  assert.match(warn("2026-05-31T00:00:00Z")[0] ?? "", /has passed/);
  assert.match(warn("2926-01-01T00:00:00Z")[0] ?? "", /more than a year/);
  assert.deepEqual(warn("2026-06-02T00:00:00Z"), []);
});
