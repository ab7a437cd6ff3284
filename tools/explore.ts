/**
 * Runs the property tests with one seed after the other, until a test fails
 * or the time limit has passed.
 * @module
 */
import { spawnSync } from "node:child_process";
import { readdirSync, readFileSync } from "node:fs";
import { join } from "node:path";
import process from "node:process";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";

/** Seeds are drawn from 0 up to this number, exclusive. */
const SEED_COUNT = 2 ** 31;

/** Returns the compiled test files that call `checkProperty`. */
function listPropertyTests(folder: string): string[] {
  return readdirSync(folder, { withFileTypes: true }).flatMap((entry) => {
    const path = join(folder, entry.name);
    if (entry.isDirectory()) return listPropertyTests(path);
    const isTest = entry.name.endsWith("_test.js");
    return isTest && readFileSync(path, "utf8").includes("checkProperty(")
      ? [path]
      : [];
  });
}

await runBinary({
  binary: "lagoon-explore",
  summary: "Runs the property tests with new random seeds.",
  specs: [
    {
      flag: "seed",
      kind: SettingKind.Integer,
      describe: "first seed; random when omitted",
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
      describe: "no new seed is started after this time; 0 runs one seed",
      fallback: "0",
    },
  ],
  main: (values) => {
    const runs = values.get("runs") ?? "1000";
    const endAt = performance.now() + Number(values.get("seconds")) * 1_000;
    const files = [
      ...listPropertyTests("dist/src"),
      ...listPropertyTests("dist/tools"),
    ];
    if (files.length === 0) throw new Error("no property tests found in dist/");
    let seed = Number(
      values.get("seed") ?? Math.floor(Math.random() * SEED_COUNT),
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

/** Runs all tests with one seed, and prints how to reproduce a failure. */
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
