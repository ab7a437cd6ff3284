/**
 * The command `show`.
 * @module
 */
import { stringify } from "yaml";
import { keyOfUse } from "../lists/types.ts";
import type { CommandContext } from "./command.ts";
import type { ExitCode } from "./exit_code.ts";
import { listsAnswer } from "./node_answers.ts";
import { printAnswer } from "./print_answer.ts";

/** Prints the lists as YAML that `apply` accepts unchanged. */
export function showLists(context: CommandContext): Promise<ExitCode> {
  return printAnswer({
    context,
    path: "/v1/lists",
    schema: listsAnswer,
    format: ({ customers, uses }) => {
      const lists = {
        customers: sortBy(
          customers.map((row) => row.entry),
          (entry) => entry.customer,
        ),
        uses: sortBy(
          uses.map((row) => row.entry),
          (entry) => keyOfUse(entry.plan, entry.service),
        ),
      };
      return [stringify(lists).trimEnd()];
    },
  });
}

function sortBy<T>(entries: readonly T[], keyOf: (entry: T) => string): T[] {
  return [...entries].sort((a, b) => keyOf(a) < keyOf(b) ? -1 : 1);
}
