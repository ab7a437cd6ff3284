/**
 * The command `audit`.
 * @module
 */
import type { CommandContext } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { auditAnswer, type AuditAnswerEntry } from "./node_answers.ts";
import { printAnswer } from "./print_answer.ts";

/** Prints the audit trail, one line of text or JSON per entry. */
export async function showAudit(context: CommandContext): Promise<ExitCode> {
  const { values } = context;
  const who = values.get("who");
  const verdict = values.get("verdict");
  const since = Number(values.get("since") ?? 0);
  if (verdict !== undefined && !/^(accepted|refused)$/.test(verdict)) {
    context.printError("--verdict must be 'accepted' or 'refused'.");
    return ExitCode.Usage;
  }
  const filterEntries = (entries: readonly AuditAnswerEntry[]) =>
    entries.filter((entry) =>
      entry.offset >= since &&
      (who === undefined || entry.who === who) &&
      (verdict === undefined || entry.verdict === verdict)
    );
  return await printAnswer({
    context,
    path: "/v1/audit",
    schema: auditAnswer,
    format: ({ entries }) => filterEntries(entries).map(formatAuditEntry),
    formatJson: ({ entries }) =>
      filterEntries(entries).map((one) => JSON.stringify(one)),
  });
}

/** Formats an entry as a line with offset, time, author, change and verdict. */
export function formatAuditEntry(entry: AuditAnswerEntry): string {
  const { offset, at, who, what, verdict } = entry;
  const reason = entry.reason === undefined
    ? ""
    : ` (${entry.reason}) [${entry.code}]`;
  return `${offset} ${at} ${who}: ${what}: ${verdict}${reason}`;
}
