/**
 * Replays recorded traces and checks their stated outcomes.
 * @module
 */
import { readdir } from "node:fs/promises";
import process from "node:process";
import { formatError } from "../src/core/errors.ts";
import { checkTrace } from "../src/trace/check_trace.ts";
import { isTrace, readTrace } from "./traces/read_trace.ts";

const named = process.argv.slice(2);
const files = named.length > 0
  ? named
  : (await readdir("traces")).filter(isTrace).sort()
    .map((name) => `traces/${name}`);

let failures = 0;
for (const file of files) {
  const { lines, outcomes } = await readTrace(file);
  const judged = checkTrace({ file, lines, outcomes });
  if (judged.isErr()) {
    failures++;
    process.stdout.write(`FAILED ${file}: ${formatError(judged.error)}\n`);
    continue;
  }
  const { decisions, nodes } = judged.value;
  process.stdout.write(
    `ok ${file}: ${nodes} nodes, ${decisions} decisions, ` +
      `${outcomes.length} outcomes hold\n`,
  );
}
process.stdout.write(`${files.length} traces, ${failures} failed.\n`);
// No trace at all is no proof either.
if (failures > 0 || files.length === 0) process.exitCode = 1;
