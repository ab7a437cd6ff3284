/**
 * Runs one experiment and prints its figures.
 *
 * Exits 0 whether or not targets are met, so that no figure is hidden.
 * @module
 */
import process from "node:process";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";
import type { Figure, RunExperiment } from "./experiments/figure.ts";

/** Experiments by name, each loaded only when it runs. */
const experiments: Readonly<Record<string, () => Promise<RunExperiment>>> = {
  calls: async () => (await import("./experiments/calls.ts")).runCalls,
  spreading: async () =>
    (await import("./experiments/spreading.ts")).runSpreading,
  once: async () => (await import("./experiments/once.ts")).runOnce,
  cost: async () => (await import("./experiments/cost.ts")).runCost,
  memory: async () => (await import("./experiments/memory.ts")).runMemory,
  appending: async () =>
    (await import("./experiments/appending.ts")).runAppending,
  folding: async () => (await import("./experiments/folding.ts")).runFolding,
  sidecars: async () => (await import("./experiments/sidecars.ts")).runSidecars,
  rollouts: async () => (await import("./experiments/rollouts.ts")).runRollouts,
};

const defaultSeed = "20261204";

await runBinary({
  binary: "lagoon-experiment",
  summary: `Runs one experiment: ${Object.keys(experiments).join(", ")}.`,
  positionals: "NAME",
  specs: [
    {
      flag: "json",
      kind: SettingKind.Switch,
      describe: "print JSON",
      fallback: "false",
    },
    {
      flag: "seed",
      kind: SettingKind.Integer,
      describe: "seed of everything random",
      fallback: defaultSeed,
    },
  ],
  main: async (values, [name]) => {
    const load = experiments[name ?? ""];
    if (load === undefined) {
      const names = Object.keys(experiments).join(", ");
      process.stderr.write(`No experiment '${name}'. There are: ${names}.\n`);
      process.exitCode = 2;
      return;
    }
    const seed = Number(values.get("seed"));
    const isJson = values.get("json") === "true";
    const run = await load();
    const figures = await run({
      seed,
      onProgress: (sentence) => process.stderr.write(`${sentence}\n`),
    });
    const text = isJson
      ? JSON.stringify({ experiment: name, seed, figures })
      : tellFigures(figures);
    process.stdout.write(`${text}\n`);
  },
});

function tellFigures(figures: readonly Figure[]): string {
  const rows = figures.map((one) => [
    one.name,
    `${Number(one.value.toPrecision(4))} ${one.unit}`,
    one.target ?? "",
    one.met === undefined ? "" : one.met ? "met" : "NOT MET",
  ]);
  const widths = [0, 1, 2].map((column) =>
    Math.max(...rows.map((row) => (row[column] ?? "").length))
  );
  return rows.map((row) =>
    row.map((cell, column) => cell.padEnd(widths[column] ?? 0)).join("  ")
  ).join("\n");
}
