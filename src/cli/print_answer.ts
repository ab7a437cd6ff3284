/**
 * Fetches a path of a node's operators' port and prints the answer.
 * @module
 */
import type * as v from "valibot";
import { formatError } from "../core/errors.ts";
import { askNode } from "./ask_node.ts";
import { type CommandContext, isOn } from "./command.ts";
import { ExitCode } from "./exit_code.ts";

/** Options of `printAnswer`. */
export interface PrintAnswerOptions<T extends v.GenericSchema> {
  readonly context: CommandContext;
  readonly path: string;
  readonly schema: T;
  /** Formats the answer as text, without `--json`. */
  readonly format: (answer: v.InferOutput<T>) => readonly string[];
  /** Formats the answer with `--json`. Default: one JSON document. */
  readonly formatJson?: (answer: v.InferOutput<T>) => readonly string[];
}

/** Fetches the answer, then prints it as text or as JSON. */
export async function printAnswer<T extends v.GenericSchema>(
  opts: PrintAnswerOptions<T>,
): Promise<ExitCode> {
  const { context, path, schema, format, formatJson } = opts;
  const answer = await askNode({
    context,
    method: "GET",
    path,
    schema,
    expectedStatuses: [200],
  });
  if (answer.isErr()) {
    context.printError(formatError(answer.error));
    return ExitCode.Failed;
  }
  const toJson = formatJson ??
    ((value: unknown) => [JSON.stringify(value, null, 2)]);
  const lines = isOn(context, "json")
    ? toJson(answer.value)
    : format(answer.value);
  for (const line of lines) context.print(line);
  return ExitCode.Done;
}
