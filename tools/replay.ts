/**
 * Replays recorded traces through the current decisions, and checks that the
 * outcomes listed for each trace still occur.
 * @module
 */
import { readdir } from "node:fs/promises";
import process from "node:process";
import { formatError } from "../src/core/errors.ts";
import { checkTrace } from "../src/trace/check_trace.ts";
import { isTrace, readTrace } from "./traces/read_trace.ts";

const requestedFiles = process.argv.slice(2);
const files = requestedFiles.length > 0
  ? requestedFiles
  : (await readdir("traces")).filter(isTrace).sort()
    .map((name) => `traces/${name}`);

let failures = 0;
for (const file of files) {
  const { lines, outcomes } = await readTrace(file);
  const result = checkTrace({ file, lines, outcomes });
  if (result.isErr()) {
    failures++;
    process.stdout.write(`FAILED ${file}: ${formatError(result.error)}\n`);
    continue;
  }
  const { decisions, nodes } = result.value;
  process.stdout.write(
    `ok ${file}: ${nodes} nodes, ${decisions} decisions, ` +
      `${outcomes.length} outcomes hold\n`,
  );
}
process.stdout.write(`${files.length} traces, ${failures} failed.\n`);
// An empty set of traces would prove nothing, so it fails too.
if (failures > 0 || files.length === 0) process.exitCode = 1;
