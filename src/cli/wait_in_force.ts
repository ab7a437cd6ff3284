/**
 * The command `wait`, and the end of `apply --wait`.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { formatError } from "../core/errors.ts";
import { askNode } from "./ask_node.ts";
import type { CommandOptions } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { type StatusAnswer, statusAnswer } from "./node_answers.ts";

const pollMs = 200;

/** A domain that was silent for longer counts as out of reach. */
const silentLimitMs = 10_000;

/** Tells each failure domain as it gets to the version. */
export async function waitInForce(
  opts: CommandOptions,
  offset?: number,
): Promise<ExitCode> {
  const startedAt = performance.now();
  const timeoutMs = Number(opts.values.get("timeout") ?? 30) * 1_000;
  const told = new Set<string>();
  let wanted = offset;
  while (true) {
    const answer = await askNode({
      command: opts,
      method: "GET",
      path: "/v1/status",
      schema: statusAnswer,
      goodStatus: [200],
    });
    if (answer.isErr()) {
      opts.printError(formatError(answer.error));
      return offset === undefined ? ExitCode.Failed : ExitCode.NotInForce;
    }
    const status = answer.value;
    wanted ??= status.version;
    const waitedMs = performance.now() - startedAt;
    tellDomains(opts, status, wanted, told, waitedMs);
    const late = findLate(status, wanted);
    if (late.length === 0 && status.applied >= wanted) {
      opts.print(`Version ${wanted} is in force everywhere.`);
      return ExitCode.Done;
    }
    if (waitedMs > timeoutMs) {
      for (const line of late) opts.printError(line);
      opts.printError(`Version ${wanted} is not in force everywhere yet.`);
      return ExitCode.NotInForce;
    }
    await sleep(pollMs);
  }
}

function tellDomains(
  opts: CommandOptions,
  status: StatusAnswer,
  wanted: number,
  told: Set<string>,
  waitedMs: number,
) {
  for (const { domain, nodes, applied } of status.domains) {
    if (applied < wanted || told.has(domain)) continue;
    told.add(domain);
    const seconds = (waitedMs / 1_000).toFixed(1);
    opts.print(`In force in ${domain} on ${nodes} nodes after ${seconds} s.`);
  }
}

function findLate(status: StatusAnswer, wanted: number): string[] {
  const late = status.domains.filter((one) => one.applied < wanted);
  return late.map(({ domain, applied, silentMs }) =>
    silentMs > silentLimitMs
      ? `${domain} can't be reached: last heard of ` +
        `${Math.round(silentMs / 1_000)} s ago at version ${applied}.`
      : `${domain} is at version ${applied}.`
  );
}
