/**
 * The command `rollouts`.
 * @module
 */
import {
  type RolloutStatus,
  statusOfRollout,
} from "../rollout/explain_rollout.ts";
import { formatPercent, formatTimeLeft } from "../rollout/plan_step.ts";
import { isLive } from "../config_log/rollout_rows.ts";
import type { CommandContext } from "./command.ts";
import type { ExitCode } from "./exit_code.ts";
import { type RolloutAnswer, rolloutsAnswer } from "./node_answers.ts";
import { printAnswer } from "./print_answer.ts";

/** Prints one line for each rollout on record. */
export function showRollouts(context: CommandContext): Promise<ExitCode> {
  const wall = context.wall();
  return printAnswer({
    context,
    path: "/v1/rollouts",
    schema: rolloutsAnswer,
    format: ({ rollouts }) =>
      rollouts.length === 0
        ? ["No rollouts."]
        : rollouts.map((one) => formatRollout(one, wall)),
    formatJson: ({ rollouts }) => [toJson(rollouts, wall)],
  });
}

function toJson(rollouts: readonly RolloutAnswer[], wall: number): string {
  const statuses: readonly RolloutStatus[] = rollouts.map((one) =>
    statusOfRollout(one, wall)
  );
  return JSON.stringify({ rollouts: statuses }, null, 2);
}

/** Formats phase, share, time left and expected finish as one line. */
export function formatRollout(rollout: RolloutAnswer, wall: number): string {
  const { id, phase, perMille } = rollout;
  const line = `${id}: ${phase}, ${formatPercent(perMille)} of calls`;
  if (!isLive(rollout)) return line;
  const { expectedFinish } = statusOfRollout(rollout, wall);
  const finish = expectedFinish === undefined
    ? ""
    : `, expected finish ${expectedFinish}`;
  return `${line}, ${formatTimeLeft(rollout, wall)}${finish}`;
}
