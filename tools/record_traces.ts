/**
 * Records the traces that CI replays: all scenarios, or those that are named
 * on the command line.
 * @module
 */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { gzipSync } from "node:zlib";
import { formatError } from "../src/core/errors.ts";
import { checkTrace } from "../src/trace/check_trace.ts";
import { SCENARIOS } from "./traces/scenarios.ts";
import { startBench } from "./traces/start_bench.ts";

const requestedNames = process.argv.slice(2);
const selected = SCENARIOS.filter(({ name }) =>
  requestedNames.length === 0 || requestedNames.includes(name)
);

for (const { name, fleet, outcomes, run } of selected) {
  const bench = await startBench(fleet);
  await bench.waitForMembers();
  await bench.publish(0, "v1");
  await bench.waitForConvergence();
  // The fleet is stopped also when the scenario fails, so that no process
  // is left running.
  const failure = await run(bench).then(() => undefined, (err) => String(err));
  const lines = await bench.stop();
  const checked = checkTrace({ file: name, lines, outcomes });
  const problem = failure ??
    (checked.isErr() ? formatError(checked.error) : "");
  if (problem !== "") {
    process.stdout.write(`FAILED ${name}: ${problem}\n`);
    process.exitCode = 1;
    continue;
  }
  const bytes = gzipSync(`${lines.join("\n")}\n`, { level: 9 });
  await writeFile(`traces/${name}.jsonl.gz`, bytes);
  await writeFile(
    `traces/${name}.outcomes.json`,
    `${JSON.stringify(outcomes, undefined, 2)}\n`,
  );
  process.stdout.write(`${name}: ${lines.length} lines, ${bytes.length} B\n`);
}
