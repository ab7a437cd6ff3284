/**
 * The command `explain`.
 * @module
 */
import { formatError } from "../core/errors.ts";
import { explainRollout, statusOfRollout } from "../rollout/explain_rollout.ts";
import { askNode } from "./ask_node.ts";
import { CODE_MEANINGS } from "./code_meanings.ts";
import { type CommandContext, isOn } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import {
  auditAnswer,
  type RolloutAnswer,
  rolloutsAnswer,
} from "./node_answers.ts";
import { formatAuditEntry } from "./show_audit.ts";
import { formatRollout } from "./show_rollouts.ts";

/** Explains a refusal code, an edit by its offset, or a rollout by its id. */
export async function explain(
  opts: CommandContext,
  what: string,
): Promise<ExitCode> {
  if (what.startsWith("LAGOON_")) return explainCode(opts, what);
  const rollouts = await askNode({
    context: opts,
    method: "GET",
    path: "/v1/rollouts",
    schema: rolloutsAnswer,
    expectedStatuses: [200],
  });
  if (rollouts.isErr()) {
    opts.printError(formatError(rollouts.error));
    return ExitCode.Failed;
  }
  if (/^\d+$/.test(what)) {
    return await explainOffset(opts, Number(what), rollouts.value.rollouts);
  }
  const rollout = rollouts.value.rollouts.find((one) => one.id === what);
  if (rollout === undefined) {
    opts.printError(
      `No rollout '${what}'. Run 'lagoonctl rollouts' for all ids.`,
    );
    return ExitCode.Failed;
  }
  const wall = opts.wall();
  const lines = isOn(opts, "json")
    ? [JSON.stringify(statusOfRollout(rollout, wall), null, 2)]
    : explainRollout(rollout, wall);
  for (const line of lines) opts.print(line);
  return ExitCode.Done;
}

function explainCode(opts: CommandContext, code: string): ExitCode {
  const meaning = CODE_MEANINGS[code];
  if (meaning === undefined) {
    opts.printError(
      `Unknown code '${code}'. Run 'lagoonctl codes' for all codes.`,
    );
    return ExitCode.Failed;
  }
  opts.print(`${code}: ${meaning}`);
  return ExitCode.Done;
}

async function explainOffset(
  opts: CommandContext,
  offset: number,
  rollouts: readonly RolloutAnswer[],
): Promise<ExitCode> {
  const audit = await askNode({
    context: opts,
    method: "GET",
    path: "/v1/audit",
    schema: auditAnswer,
    expectedStatuses: [200],
  });
  if (audit.isErr()) {
    opts.printError(formatError(audit.error));
    return ExitCode.Failed;
  }
  const entry = audit.value.entries.find((one) => one.offset === offset);
  if (entry === undefined) {
    opts.printError(`The audit trail has no entry at offset ${offset}.`);
    return ExitCode.Failed;
  }
  if (isOn(opts, "json")) opts.print(JSON.stringify(entry));
  else opts.print(formatAuditEntry(entry));
  const meaning = CODE_MEANINGS[entry.code ?? ""];
  if (meaning !== undefined) opts.print(meaning);
  for (const rollout of rollouts) {
    if (rollout.id.endsWith(`#${offset}`)) {
      opts.print(formatRollout(rollout, opts.wall()));
    }
  }
  return ExitCode.Done;
}
