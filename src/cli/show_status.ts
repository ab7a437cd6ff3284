/**
 * The command `status`.
 * @module
 */
import type { CommandOptions } from "./command.ts";
import type { ExitCode } from "./exit_code.ts";
import { type StatusAnswer, statusAnswer } from "./node_answers.ts";
import { printAnswer } from "./print_answer.ts";

/** Prints versions in force, laggards and inactive services. */
export function showStatus(command: CommandOptions): Promise<ExitCode> {
  return printAnswer({
    command,
    path: "/v1/status",
    schema: statusAnswer,
    tell: tellStatus,
  });
}

function tellStatus(status: StatusAnswer): string[] {
  const lines = [`Version ${status.version} by ${status.node}.`];
  for (const { domain, nodes, applied, silentMs } of status.domains) {
    const state = applied >= status.version ? "in force" : `at ${applied}`;
    const heard = silentMs < 10_000
      ? ""
      : `, last heard of ${Math.round(silentMs / 1_000)} s ago`;
    lines.push(`  ${domain}: ${nodes} nodes, ${state}${heard}`);
  }
  for (const { node, applied } of status.laggards) {
    lines.push(`  ${node} is behind, at ${applied}`);
  }
  for (const key of status.inactive) {
    lines.push(`  ${key}: no upstream now, its routes are not active`);
  }
  return lines;
}
