/**
 * The command `report`.
 * @module
 */
import { readFile, writeFile } from "node:fs/promises";
import { createRequire } from "node:module";
import { formatError } from "../core/errors.ts";
import { renderReport } from "../rollout/render_report.ts";
import { askNode } from "./ask_node.ts";
import type { CommandContext } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { historyAnswer, rolloutsAnswer } from "./node_answers.ts";

/** Writes a rollout's report as an HTML page to a file or standard output. */
export async function writeReport(
  context: CommandContext,
  id: string,
): Promise<ExitCode> {
  const request = { context, method: "GET", expectedStatuses: [200] } as const;
  const answer = await askNode({
    ...request,
    path: "/v1/rollouts",
    schema: rolloutsAnswer,
  });
  if (answer.isErr()) return fail(context, formatError(answer.error));
  const rollout = answer.value.rollouts.find((one) => one.id === id);
  if (rollout === undefined) {
    const hint = "Run 'lagoonctl rollouts' for all ids.";
    return fail(context, `No rollout '${id}'. ${hint}`);
  }
  const history = await askNode({
    ...request,
    path: `/v1/rollouts/${encodeURIComponent(id)}/history`,
    schema: historyAnswer,
  });
  if (history.isErr()) return fail(context, formatError(history.error));
  const { holder, points } = history.value;
  const note = points.length > 0 ? undefined : describeMissingPlots(holder);
  const page = renderReport({
    rollout,
    points,
    wall: context.wall(),
    plotScript: await readPackageFile("uplot/dist/uPlot.iife.min.js"),
    plotStyle: await readPackageFile("uplot/dist/uPlot.min.css"),
    ...(note === undefined ? {} : { note }),
  });
  return await outputReport(context, page);
}

/**
 * Describes why the report has no plots: only a node that led the rollout has
 * measurements of it.
 */
function describeMissingPlots(holder: string | undefined): string {
  const reason = holder === undefined
    ? "no node leads the rollout now, and this one has no measurements"
    : `the rollout is led by node ${holder}, so request it there for the plots`;
  return `This report has the recorded steps but no plots: ${reason}.`;
}

async function outputReport(
  context: CommandContext,
  page: string,
): Promise<ExitCode> {
  const file = context.values.get("out");
  if (file === undefined) {
    context.print(page);
    return ExitCode.Done;
  }
  try {
    await writeFile(file, page);
  } catch (cause) {
    return fail(context, `The report could not be written: ${String(cause)}.`);
  }
  context.print(`Wrote ${file}.`);
  return ExitCode.Done;
}

function readPackageFile(name: string): Promise<string> {
  return readFile(createRequire(import.meta.url).resolve(name), "utf8");
}

function fail(context: CommandContext, message: string): ExitCode {
  context.printError(message);
  return ExitCode.Failed;
}
