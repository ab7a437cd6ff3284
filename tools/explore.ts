/**
 * Runs the property tests with fresh seeds for as long as asked.
 * @module
 */
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";

const maxSeed = 2 ** 31;

/** Built test files that check properties. */
function propertyTests(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return propertyTests(path);
    const isTest = entry.name.endsWith("_test.js");
    return isTest && readFileSync(path, "utf8").includes("checkProperty(")
      ? [path]
      : [];
  });
}

await runBinary({
  binary: "lagoon-explore",
  summary: "Runs the property tests with fresh seeds.",
  specs: [
    {
      flag: "seed",
      kind: SettingKind.Integer,
      describe: "first seed; a fresh one when left out",
    },
    {
      flag: "runs",
      kind: SettingKind.Integer,
      describe: "runs of each property with each seed",
      fallback: "1000",
    },
    {
      flag: "seconds",
      kind: SettingKind.Integer,
      describe: "starts no further seed after this time; 0 tries one seed",
      fallback: "0",
    },
  ],
  main: (values) => {
    const runs = values.get("runs") ?? "1000";
    const endAt = performance.now() + Number(values.get("seconds")) * 1_000;
    const files = [
      ...propertyTests("dist/src"),
      ...propertyTests("dist/tools"),
    ];
    if (files.length === 0) throw new Error("no test checks a property");
    let seed = Number(
      values.get("seed") ?? Math.floor(Math.random() * maxSeed),
    );
    do {
      if (!exploreSeed(files, seed, runs)) {
        process.exitCode = 1;
        break;
      }
      seed++;
    } while (performance.now() < endAt);
    return Promise.resolve();
  },
});

/** Tries one seed, and tells how to repeat a failure. */
function exploreSeed(
  files: readonly string[],
  seed: number,
  runs: string,
): boolean {
  const env = {
    ...process.env,
    LAGOON_TEST_SEED: String(seed),
    LAGOON_TEST_RUNS: runs,
  };
  const result = spawnSync(process.execPath, ["--test", ...files], {
    env,
    encoding: "utf8",
  });
  const isGreen = result.status === 0;
  process.stdout.write(
    `Seed ${seed}: ${files.length} files, ${isGreen ? "passed" : "FAILED"}.\n`,
  );
  if (isGreen) return true;
  process.stdout.write(result.stdout);
  process.stdout.write(
    `Repeat with: npm run explore -- --seed ${seed} --runs ${runs}\n`,
  );
  return false;
}
