/**
 * Runs one experiment and prints its figures.
 *
 * The exit code is 0 whether or not the figures meet their targets: a missed
 * target is printed as `NOT MET` and does not suppress the other figures.
 * @module
 */
import process from "node:process";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";
import type { Figure, RunExperiment } from "./experiments/figure.ts";

/** Experiments by name. Each module is imported only when it is selected. */
const EXPERIMENTS: Readonly<Record<string, () => Promise<RunExperiment>>> = {
  accounts: async () => (await import("./experiments/accounts.ts")).runAccounts,
  calls: async () => (await import("./experiments/calls.ts")).runCalls,
  spreading: async () =>
    (await import("./experiments/spreading.ts")).runSpreading,
  once: async () => (await import("./experiments/claims.ts")).runClaims,
  cost: async () => (await import("./experiments/cost.ts")).runCost,
  memory: async () => (await import("./experiments/memory.ts")).runMemory,
  appending: async () =>
    (await import("./experiments/appending.ts")).runAppending,
  folding: async () => (await import("./experiments/folding.ts")).runFolding,
  sidecars: async () => (await import("./experiments/sidecars.ts")).runSidecars,
  quotas: async () => (await import("./experiments/quotas.ts")).runQuotas,
  rollouts: async () => (await import("./experiments/rollouts.ts")).runRollouts,
};

const DEFAULT_SEED = "20261204";

await runBinary({
  binary: "lagoon-experiment",
  summary: `Runs one experiment: ${Object.keys(EXPERIMENTS).join(", ")}.`,
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
      describe: "seed of all random numbers",
      fallback: DEFAULT_SEED,
    },
  ],
  main: async (values, [name]) => {
    const load = EXPERIMENTS[name ?? ""];
    if (load === undefined) {
      const names = Object.keys(EXPERIMENTS).join(", ");
      process.stderr.write(
        `unknown experiment '${name}'; available: ${names}\n`,
      );
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
      : formatFigures(figures);
    process.stdout.write(`${text}\n`);
  },
});

function formatFigures(figures: readonly Figure[]): string {
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
