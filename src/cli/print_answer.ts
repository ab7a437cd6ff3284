/**
 * Prints what a node answers to a question.
 * @module
 */
import type * as v from "valibot";
import { formatError } from "../core/errors.ts";
import { askNode } from "./ask_node.ts";
import { type CommandOptions, isOn } from "./command.ts";
import { ExitCode } from "./exit_code.ts";

/** Options of `printAnswer`. */
export interface PrintAnswerOptions<T extends v.GenericSchema> {
  readonly command: CommandOptions;
  readonly path: string;
  readonly schema: T;
  /** Lines for a person. */
  readonly tell: (answer: v.InferOutput<T>) => readonly string[];
  /** Lines for a program, one JSON document unless given. */
  readonly tellJson?: (answer: v.InferOutput<T>) => readonly string[];
}

/** Asks, then prints for a person or a program. */
export async function printAnswer<T extends v.GenericSchema>(
  opts: PrintAnswerOptions<T>,
): Promise<ExitCode> {
  const { command, path, schema, tell, tellJson } = opts;
  const answer = await askNode({
    command,
    method: "GET",
    path,
    schema,
    goodStatus: [200],
  });
  if (answer.isErr()) {
    command.printError(formatError(answer.error));
    return ExitCode.Failed;
  }
  const toJson = tellJson ??
    ((value: unknown) => [JSON.stringify(value, null, 2)]);
  const lines = isOn(command, "json")
    ? toJson(answer.value)
    : tell(answer.value);
  for (const line of lines) command.print(line);
  return ExitCode.Done;
}
