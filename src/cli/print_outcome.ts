/**
 * Prints the outcome of a submitted record: an edit or a reinstatement.
 * @module
 */
import { type Result } from "neverthrow";
import { exhausted } from "../core/exhausted.ts";
import { formatError, type LagoonError } from "../core/errors.ts";
import { CODE_MEANINGS } from "./code_meanings.ts";
import type { CommandContext } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import type { OutcomeAnswer } from "./node_answers.ts";

/** Options of `printOutcome`. */
export interface PrintOutcomeOptions {
  readonly context: CommandContext;
  readonly answer: Result<OutcomeAnswer, LagoonError>;
  /** What was submitted, such as `5 changes`. */
  readonly what: string;
}

const UNKNOWN_OUTCOME_HINT =
  "It may have taken effect. Check 'lagoonctl audit', or run the command " +
  "again: a change that is in force is not made twice.";

/**
 * Prints the outcome. Returns the offset of an accepted record, otherwise 0.
 */
export function printOutcome(
  opts: PrintOutcomeOptions,
): { code: ExitCode; offset: number } {
  const { print, printError } = opts.context;
  const none = { offset: 0 };
  if (opts.answer.isErr()) {
    const { error } = opts.answer;
    printError(formatError(error));
    // The request was sent, so the node may have processed it.
    const isUnknown = error.code === "LAGOON_NODE_SILENT";
    if (isUnknown) printError(UNKNOWN_OUTCOME_HINT);
    return { ...none, code: isUnknown ? ExitCode.Unknown : ExitCode.Failed };
  }
  const outcome = opts.answer.value;
  switch (outcome.type) {
    case "accepted":
    case "repeated":
      print(`Accepted ${opts.what} at offset ${outcome.offset}.`);
      return { offset: outcome.offset, code: ExitCode.Done };
    case "refused":
      printError(
        `Refused the record at ${outcome.offset}: ${outcome.reason} ` +
          `[${outcome.code}]`,
      );
      printError(CODE_MEANINGS[outcome.code] ?? "");
      return { ...none, code: ExitCode.Failed };
    case "unsettled":
      printError(
        `No verdict: ${CODE_MEANINGS[outcome.code]} [${outcome.code}]`,
      );
      if (!outcome.mayTakeEffect) {
        printError("It did not and will not take effect.");
        return { ...none, code: ExitCode.Failed };
      }
      printError(UNKNOWN_OUTCOME_HINT);
      return { ...none, code: ExitCode.Unknown };
    default:
      return exhausted(outcome);
  }
}
