/**
 * The command `reinstate`.
 * @module
 */
import { askNode } from "./ask_node.ts";
import type { CommandContext } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { OUTCOME_STATUSES, outcomeAnswer } from "./node_answers.ts";
import { printOutcome } from "./print_outcome.ts";

/** Allows a version that was rolled back to be rolled out again. */
export async function reinstate(
  opts: CommandContext,
  name: string,
): Promise<ExitCode> {
  const [service, version, ...rest] = name.split("@");
  if (!service || !version || rest.length > 0) {
    opts.printError("Name the version as SERVICE@VERSION.");
    return ExitCode.Usage;
  }
  const editor = opts.values.get("editor") ?? "operator";
  const answer = await askNode({
    context: opts,
    method: "POST",
    path: "/v1/reinstatements",
    body: { editor, service, version },
    schema: outcomeAnswer,
    expectedStatuses: OUTCOME_STATUSES,
  });
  const what = `the reinstatement of ${name}`;
  return printOutcome({ context: opts, answer, what }).code;
}
