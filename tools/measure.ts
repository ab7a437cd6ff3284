/**
 * Measures fleets of real processes: convergence, control traffic, outcomes of
 * rollouts, added latency, and further figures such as lost calls.
 * @module
 */
import process from "node:process";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";
import { type Deployment, DEPLOYMENTS } from "./fleet/deployments.ts";
import {
  type DeploymentFigures,
  runDeployment,
} from "./measure/run_deployment.ts";

/** Names of the figures, in the order of the output. */
const FIGURE_KEYS = [
  "convergenceMs",
  "controlBytesPerSecond",
  "goodDoneShare",
  "badTakenBackShare",
  "addedLatencyMs",
  "lostCalls",
  "runTwice",
  "reverts",
  "nodeCpuPercent",
  "nodeRssMb",
  "calls",
  "causes",
] as const satisfies readonly (keyof DeploymentFigures)[];

await runBinary({
  binary: "lagoon-measure",
  summary:
    "Measures fleets of real processes at the sizes of both deployments.",
  specs: [
    {
      flag: "json",
      kind: SettingKind.Switch,
      describe: "print JSON",
      fallback: "false",
    },
    {
      flag: "quick",
      kind: SettingKind.Switch,
      describe: "fewer and shorter phases, under 50 s",
      fallback: "false",
    },
    {
      flag: "domains",
      kind: SettingKind.Integer,
      describe: "failure domains of each deployment, 0 for its real number",
      fallback: "0",
    },
    {
      flag: "nodes",
      kind: SettingKind.Integer,
      describe: "endpoints of each service, 0 for its real number",
      fallback: "0",
    },
    {
      flag: "seed",
      kind: SettingKind.Integer,
      describe:
        "odd to reverse the order of the deployments; all else is not seeded",
      fallback: "0",
    },
  ],
  main: async (values) => {
    const isQuick = values.get("quick") === "true";
    const sized = DEPLOYMENTS.map((one) =>
      resizeDeployment(
        one,
        Number(values.get("domains")),
        Number(values.get("nodes")),
      )
    );
    if (Number(values.get("seed")) % 2 === 1) sized.reverse();
    const onProgress = (sentence: string) =>
      process.stderr.write(`${sentence}\n`);
    const run = (deployment: Deployment) =>
      runDeployment({ deployment, isQuick, onProgress });
    const results = isQuick
      ? await Promise.all(sized.map(run))
      : await runInTurn(sized, run);
    const figures = groupByFigure(sized, results);
    const text = values.get("json") === "true"
      ? JSON.stringify(figures)
      : formatTable(figures);
    process.stdout.write(`${text}\n`);
  },
});

function resizeDeployment(
  deployment: Deployment,
  domains: number,
  nodes: number,
): Deployment {
  const names = deployment.domains;
  return {
    ...deployment,
    domains: domains === 0
      ? names
      : Array.from({ length: domains }, (_, index) =>
        names[index] ?? `${deployment.region}-${index + 1}`),
    services: deployment.services.map((one) => ({
      ...one,
      endpoints: nodes === 0 ? one.endpoints : nodes,
    })),
  };
}

async function runInTurn<T, R>(
  items: readonly T[],
  run: (item: T) => Promise<R>,
): Promise<R[]> {
  const results: R[] = [];
  for (const item of items) results.push(await run(item));
  return results;
}

type FiguresByKey = Record<string, Record<string, unknown>>;

function groupByFigure(
  sized: readonly Deployment[],
  results: readonly DeploymentFigures[],
): FiguresByKey {
  const byKey: FiguresByKey = {};
  for (const key of FIGURE_KEYS) {
    byKey[key] = Object.fromEntries(
      sized.map((one, index) => [one.name, results[index]?.[key]]),
    );
  }
  return byKey;
}

function formatTable(byKey: FiguresByKey): string {
  return Object.entries(byKey).flatMap(([key, row]) =>
    Object.entries(row).map(([deployment, value]) =>
      `${key.padEnd(24)}${deployment.padEnd(10)}${formatValue(value)}`
    )
  ).join("\n");
}

function formatValue(value: unknown): string {
  if (typeof value === "number") return round(value);
  return Object.entries(value as Record<string, number>)
    .map(([name, one]) => `${name} ${round(one)}`).join(", ");
}

function round(value: number): string {
  return String(Number(value.toPrecision(4)));
}
