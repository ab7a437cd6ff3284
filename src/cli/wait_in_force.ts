/**
 * The command `wait`, and the end of `apply --wait`.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { formatError } from "../core/errors.ts";
import { askNode } from "./ask_node.ts";
import type { CommandContext } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { type StatusAnswer, statusAnswer } from "./node_answers.ts";

const POLL_INTERVAL_MS = 200;

/**
 * Time without an update after which a failure domain is printed as
 * unreachable.
 */
const UNREACHABLE_AFTER_MS = 10_000;

/**
 * Waits until all failure domains have the version in force, and prints each
 * domain when it has. Without `offset`, waits for the newest version that the
 * node knows.
 */
export async function waitInForce(
  opts: CommandContext,
  offset?: number,
): Promise<ExitCode> {
  const startedAt = performance.now();
  const timeoutMs = Number(opts.values.get("timeout") ?? 30) * 1_000;
  const printedDomains = new Set<string>();
  let targetVersion = offset;
  while (true) {
    const answer = await askNode({
      context: opts,
      method: "GET",
      path: "/v1/status",
      schema: statusAnswer,
      expectedStatuses: [200],
    });
    if (answer.isErr()) {
      opts.printError(formatError(answer.error));
      return offset === undefined ? ExitCode.Failed : ExitCode.NotInForce;
    }
    const status = answer.value;
    targetVersion ??= status.version;
    const waitedMs = performance.now() - startedAt;
    printReachedDomains(opts, status, targetVersion, printedDomains, waitedMs);
    const lagging = describeLaggingDomains(status, targetVersion);
    if (lagging.length === 0 && status.applied >= targetVersion) {
      opts.print(`Version ${targetVersion} is in force everywhere.`);
      return ExitCode.Done;
    }
    if (waitedMs > timeoutMs) {
      for (const line of lagging) opts.printError(line);
      opts.printError(
        `Version ${targetVersion} is not in force everywhere yet.`,
      );
      return ExitCode.NotInForce;
    }
    await sleep(POLL_INTERVAL_MS);
  }
}

function printReachedDomains(
  opts: CommandContext,
  status: StatusAnswer,
  targetVersion: number,
  printedDomains: Set<string>,
  waitedMs: number,
) {
  for (const { domain, nodes, applied } of status.domains) {
    if (applied < targetVersion || printedDomains.has(domain)) continue;
    printedDomains.add(domain);
    const seconds = (waitedMs / 1_000).toFixed(1);
    opts.print(`In force in ${domain} on ${nodes} nodes after ${seconds} s.`);
  }
}

function describeLaggingDomains(
  status: StatusAnswer,
  targetVersion: number,
): string[] {
  const late = status.domains.filter((one) => one.applied < targetVersion);
  return late.map(({ domain, applied, silentMs }) =>
    silentMs > UNREACHABLE_AFTER_MS
      ? `${domain} can't be reached: last update ` +
        `${Math.round(silentMs / 1_000)} s ago at version ${applied}.`
      : `${domain} is at version ${applied}.`
  );
}
