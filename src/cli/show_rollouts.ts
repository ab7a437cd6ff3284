/**
 * The command `rollouts`.
 * @module
 */
import type { CommandOptions } from "./command.ts";
import type { ExitCode } from "./exit_code.ts";
import { type RolloutAnswer, rolloutsAnswer } from "./node_answers.ts";
import { printAnswer } from "./print_answer.ts";

/** Prints one line for each rollout on record. */
export function showRollouts(command: CommandOptions): Promise<ExitCode> {
  return printAnswer({
    command,
    path: "/v1/rollouts",
    schema: rolloutsAnswer,
    tell: ({ rollouts }) =>
      rollouts.length === 0 ? ["No rollouts."] : rollouts.map(tellRollout),
  });
}

/** One line on where a rollout stands. */
export function tellRollout(rollout: RolloutAnswer): string {
  const share = (rollout.perMille / 10).toFixed(1);
  const by = rollout.takeOverBy === undefined
    ? ""
    : `, by ${rollout.takeOverBy}`;
  return `${rollout.id}: ${rollout.phase}, ${share}% of calls${by}`;
}
