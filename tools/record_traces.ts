/**
 * Records the traces that CI replays. Names on the command line select some.
 * @module
 */
import { writeFile } from "node:fs/promises";
import process from "node:process";
import { gzipSync } from "node:zlib";
import { formatError } from "../src/core/errors.ts";
import { checkTrace } from "../src/trace/check_trace.ts";
import { scenarios } from "./traces/scenarios.ts";
import { startBench } from "./traces/start_bench.ts";

const named = process.argv.slice(2);
const chosen = scenarios.filter(({ name }) =>
  named.length === 0 || named.includes(name)
);

for (const { name, fleet, outcomes, run } of chosen) {
  const bench = await startBench(fleet);
  await bench.meet();
  await bench.publish(0, "v1");
  await bench.settle();
  // A scenario that gives up must not leave its fleet behind.
  const failure = await run(bench).then(() => undefined, (err) => String(err));
  const lines = await bench.stop();
  const judged = checkTrace({ file: name, lines, outcomes });
  const told = failure ?? (judged.isErr() ? formatError(judged.error) : "");
  if (told !== "") {
    process.stdout.write(`FAILED ${name}: ${told}\n`);
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
