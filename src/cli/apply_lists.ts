/**
 * The command `apply`.
 * @module
 */
import { formatError } from "../core/errors.ts";
import { planEdit } from "../lists/plan_edit.ts";
import { askNode } from "./ask_node.ts";
import { type CommandContext, isOn } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import {
  listsAnswer,
  OUTCOME_STATUSES,
  outcomeAnswer,
} from "./node_answers.ts";
import { readListFiles } from "./read_list_files.ts";
import { formatChanges } from "./format_changes.ts";
import { printOutcome } from "./print_outcome.ts";
import { waitInForce } from "./wait_in_force.ts";
import { warnOfTimes } from "./warn_of_times.ts";

/** Publishes the lists in the given files as one edit: all changes or none. */
export async function applyLists(
  opts: CommandContext,
  files: readonly string[],
): Promise<ExitCode> {
  const { print, printError, values } = opts;
  if (files.length === 0) {
    printError("Name at least one YAML file, a directory or '-'.");
    return ExitCode.Usage;
  }
  const requested = await readListFiles(opts, files);
  if (requested.isErr()) {
    for (const line of requested.error) printError(line);
    return ExitCode.Usage;
  }
  const current = await askNode({
    context: opts,
    method: "GET",
    path: "/v1/lists",
    schema: listsAnswer,
    expectedStatuses: [200],
  });
  if (current.isErr()) {
    printError(formatError(current.error));
    return ExitCode.Failed;
  }
  const changes = planEdit({
    current: current.value,
    requested: requested.value,
  });
  if (changes.length === 0) {
    print("The lists are published already. Nothing was sent.");
    return isOn(opts, "wait") ? await waitInForce(opts) : ExitCode.Done;
  }
  for (const line of warnOfTimes(changes, opts.wall())) printError(line);
  if (isOn(opts, "dry-run")) {
    const lines = formatChanges({ current: current.value, changes });
    for (const line of lines) print(line);
    print(`Dry run: ${changes.length} changes. Nothing was sent.`);
    return ExitCode.Done;
  }
  const answer = await askNode({
    context: opts,
    method: "POST",
    path: "/v1/edits",
    body: { editor: values.get("editor") ?? "operator", changes },
    schema: outcomeAnswer,
    expectedStatuses: OUTCOME_STATUSES,
  });
  const what = `${changes.length} changes`;
  const { code, offset } = printOutcome({ context: opts, answer, what });
  if (code !== ExitCode.Done || !isOn(opts, "wait")) return code;
  return await waitInForce(opts, offset);
}
