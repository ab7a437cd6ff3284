/**
 * The command `status`.
 * @module
 */
import { isLive } from "../config_log/rollout_rows.ts";
import { formatError } from "../core/errors.ts";
import { statusOfRollout } from "../rollout/explain_rollout.ts";
import { askNode } from "./ask_node.ts";
import { type CommandContext, isOn } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import {
  rolloutsAnswer,
  type StatusAnswer,
  statusAnswer,
} from "./node_answers.ts";
import { formatRollout } from "./show_rollouts.ts";

/**
 * Prints the version in force per failure domain, nodes with an older version,
 * services without an upstream and live rollouts.
 */
export async function showStatus(context: CommandContext): Promise<ExitCode> {
  const request = { context, method: "GET", expectedStatuses: [200] } as const;
  const status = await askNode({
    ...request,
    path: "/v1/status",
    schema: statusAnswer,
  });
  const answer = await askNode({
    ...request,
    path: "/v1/rollouts",
    schema: rolloutsAnswer,
  });
  if (status.isErr() || answer.isErr()) {
    const failed = [status, answer].find((one) => one.isErr());
    if (failed?.isErr()) context.printError(formatError(failed.error));
    return ExitCode.Failed;
  }
  const live = answer.value.rollouts.filter(isLive);
  const wall = context.wall();
  if (isOn(context, "json")) {
    const rollouts = live.map((one) => statusOfRollout(one, wall));
    context.print(JSON.stringify({ ...status.value, rollouts }, null, 2));
    return ExitCode.Done;
  }
  const lines = [
    ...formatStatus(status.value),
    ...live.map((one) => `  ${formatRollout(one, wall)}`),
  ];
  for (const line of lines) context.print(line);
  return ExitCode.Done;
}

function formatStatus(status: StatusAnswer): string[] {
  const lines = [`Version ${status.version} by ${status.node}.`];
  for (const { domain, nodes, applied, silentMs } of status.domains) {
    const state = applied >= status.version
      ? "in force"
      : `at version ${applied}`;
    const lastUpdate = silentMs < 10_000
      ? ""
      : `, last update ${Math.round(silentMs / 1_000)} s ago`;
    lines.push(`  ${domain}: ${nodes} nodes, ${state}${lastUpdate}`);
  }
  for (const { node, applied } of status.laggards) {
    lines.push(`  ${node} is behind, at version ${applied}`);
  }
  for (const key of status.inactive) {
    lines.push(`  ${key}: no upstream is ready, so its routes are inactive`);
  }
  return lines;
}
