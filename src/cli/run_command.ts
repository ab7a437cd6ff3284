/**
 * Runs one command of `lagoonctl`.
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { type AdminReply, callAdmin } from "../adapters/admin_client.ts";
import type { AuditEntry, Rollout, Verdict } from "../config_log/state.ts";
import { formatError } from "../core/errors.ts";
import { formatProblem, type Lists, parseLists } from "../lists/parse_lists.ts";
import { planEdit, type RevisedLists } from "../lists/plan_edit.ts";

/** Options of `runCommand`. */
export interface RunCommandOptions {
  readonly values: ReadonlyMap<string, string>;
  readonly positionals: readonly string[];
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
}

/** Exit codes of `lagoonctl`. */
export const ExitCode = {
  Done: 0,
  /** Refused, failed or not in time. */
  Failed: 1,
  Usage: 2,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];

const pollMs = 200;

/** Runs the command and returns the exit code. */
export async function runCommand(opts: RunCommandOptions): Promise<ExitCode> {
  const [command, ...args] = opts.positionals;
  switch (command) {
    case "apply":
      return await apply(opts, args);
    case "show":
      return await printReply(opts, "/v1/lists");
    case "status":
      return await printReply(opts, "/v1/status", tellStatus);
    case "rollouts":
      return await printReply(opts, "/v1/rollouts", tellRollouts);
    case "explain":
      return await explain(opts, args[0] ?? "");
    case "audit":
      return await printReply(opts, "/v1/audit", tellAudit);
    case "wait":
      return await waitInForce(opts, undefined);
    case "reinstate":
      return await reinstate(opts, args[0] ?? "");
    default:
      opts.printError(
        `Unknown command '${command ?? ""}'. Run 'lagoonctl --help'.`,
      );
      return ExitCode.Usage;
  }
}

/** Asks the node, and tells the error when there is no answer. */
async function ask(
  opts: RunCommandOptions,
  method: "GET" | "POST",
  path: string,
  body?: unknown,
): Promise<AdminReply | undefined> {
  const key = opts.values.get("key");
  const reply = await callAdmin({
    node: opts.values.get("node") ?? "",
    method,
    path,
    ...(key === undefined ? {} : { key }),
    ...(body === undefined ? {} : { body }),
  });
  if (reply.isErr()) {
    opts.printError(formatError(reply.error));
    return undefined;
  }
  const { status, body: answer } = reply.value;
  const isKnown = status === 200 || status === 409;
  if (isKnown) return reply.value;
  opts.printError(`The node answered ${status}: ${JSON.stringify(answer)}`);
  return undefined;
}

async function printReply(
  opts: RunCommandOptions,
  path: string,
  tell?: (body: never) => string[],
): Promise<ExitCode> {
  const reply = await ask(opts, "GET", path);
  if (reply === undefined) return ExitCode.Failed;
  if (opts.values.get("json") === "true" || tell === undefined) {
    opts.print(JSON.stringify(reply.body, null, 2));
    return ExitCode.Done;
  }
  for (const line of tell(reply.body as never)) opts.print(line);
  return ExitCode.Done;
}

interface Status {
  readonly node: string;
  readonly version: number;
  readonly applied: number;
  readonly inactive: readonly string[];
  readonly domains: readonly {
    readonly domain: string;
    readonly nodes: number;
    readonly applied: number;
  }[];
}

function tellStatus(status: Status): string[] {
  const lines = [`Version ${status.version} by ${status.node}.`];
  for (const { domain, nodes, applied } of status.domains) {
    const state = applied >= status.version ? "in force" : `at ${applied}`;
    lines.push(`  ${domain}: ${nodes} nodes, ${state}`);
  }
  for (const key of status.inactive) {
    lines.push(`  ${key}: no upstream now, its routes are not active`);
  }
  return lines;
}

function tellRollouts(body: { rollouts: readonly Rollout[] }): string[] {
  if (body.rollouts.length === 0) return ["No rollouts."];
  return body.rollouts.map((rollout) => {
    const share = (rollout.perMille / 10).toFixed(1);
    const by = rollout.takeOverBy === undefined
      ? ""
      : `, by ${rollout.takeOverBy}`;
    return `${rollout.id}: ${rollout.phase}, ${share}% of calls${by}`;
  });
}

function tellAudit(body: { entries: readonly AuditEntry[] }): string[] {
  return body.entries.map((entry) => {
    const reason = entry.reason === undefined ? "" : ` (${entry.reason})`;
    return `${entry.offset} ${entry.at} ${entry.who}: ${entry.what}: ` +
      `${entry.verdict}${reason}`;
  });
}

async function explain(
  opts: RunCommandOptions,
  id: string,
): Promise<ExitCode> {
  const reply = await ask(opts, "GET", "/v1/rollouts");
  if (reply === undefined) return ExitCode.Failed;
  const { rollouts } = reply.body as { rollouts: readonly Rollout[] };
  const rollout = rollouts.find((one) => one.id === id);
  if (rollout === undefined) {
    opts.printError(`No rollout '${id}'. Run 'lagoonctl rollouts' for ids.`);
    return ExitCode.Failed;
  }
  if (opts.values.get("json") === "true") {
    opts.print(JSON.stringify(rollout, null, 2));
    return ExitCode.Done;
  }
  opts.print(
    `${rollout.id} moves ${rollout.entries.join(", ")} from ` +
      `${rollout.from.join(", ")} to ${rollout.version}.`,
  );
  for (const step of rollout.steps) {
    const share = (step.perMille / 10).toFixed(1);
    opts.print(
      `  ${step.at} at ${step.offset}: ${step.phase}, ${share}%: ` +
        step.reason,
    );
  }
  return ExitCode.Done;
}

async function apply(
  opts: RunCommandOptions,
  files: readonly string[],
): Promise<ExitCode> {
  if (files.length === 0) {
    opts.printError("Name at least one YAML file.");
    return ExitCode.Usage;
  }
  const asked = await readFiles(opts, files);
  if (asked === undefined) return ExitCode.Failed;
  const current = await ask(opts, "GET", "/v1/lists");
  if (current === undefined) return ExitCode.Failed;
  const changes = planEdit({ current: current.body as RevisedLists, asked });
  if (changes.length === 0) {
    opts.print("Nothing to change.");
    return ExitCode.Done;
  }
  const editor = opts.values.get("editor");
  const reply = await ask(opts, "POST", "/v1/edits", { editor, changes });
  if (reply === undefined) return ExitCode.Failed;
  const verdict = reply.body as Verdict;
  if (verdict.type === "refused") {
    opts.printError(`Refused: ${verdict.reason} [${verdict.code}]`);
    return ExitCode.Failed;
  }
  opts.print(`Accepted ${changes.length} changes at ${verdict.offset}.`);
  if (opts.values.get("wait") !== "true") return ExitCode.Done;
  return await waitInForce(opts, verdict.offset);
}

async function readFiles(
  opts: RunCommandOptions,
  files: readonly string[],
): Promise<Lists | undefined> {
  let lists: Lists = {};
  let isValid = true;
  for (const file of files) {
    const text = await readFile(file, "utf8").catch(() => undefined);
    if (text === undefined) {
      opts.printError(`${file}: can't be read.`);
      return undefined;
    }
    const parsed = parseLists({ file, text });
    if (parsed.isErr()) {
      for (const one of parsed.error) opts.printError(formatProblem(one));
      isValid = false;
      continue;
    }
    lists = { ...lists, ...parsed.value };
  }
  return isValid ? lists : undefined;
}

async function reinstate(
  opts: RunCommandOptions,
  name: string,
): Promise<ExitCode> {
  const [service, version] = name.split("@");
  if (!service || !version) {
    opts.printError("Name the version as SERVICE@VERSION.");
    return ExitCode.Usage;
  }
  const editor = opts.values.get("editor");
  const body = { editor, service, version };
  const reply = await ask(opts, "POST", "/v1/reinstatements", body);
  if (reply === undefined) return ExitCode.Failed;
  const verdict = reply.body as Verdict;
  if (verdict.type === "refused") {
    opts.printError(`Refused: ${verdict.reason} [${verdict.code}]`);
    return ExitCode.Failed;
  }
  opts.print(`Reinstated ${name} at ${verdict.offset}.`);
  return ExitCode.Done;
}

/** Waits until every domain that the node knows has the version in force. */
async function waitInForce(
  opts: RunCommandOptions,
  offset: number | undefined,
): Promise<ExitCode> {
  const timeoutMs = Number(opts.values.get("timeout")) * 1_000;
  const deadline = performance.now() + timeoutMs;
  while (true) {
    const reply = await ask(opts, "GET", "/v1/status");
    if (reply === undefined) return ExitCode.Failed;
    const status = reply.body as Status;
    const wanted = offset ?? status.version;
    const late = status.domains.filter((one) => one.applied < wanted);
    if (late.length === 0 && status.applied >= wanted) {
      opts.print(`Version ${wanted} is in force everywhere.`);
      return ExitCode.Done;
    }
    if (performance.now() > deadline) {
      const names = late.map((one) => `${one.domain} at ${one.applied}`);
      opts.printError(`Not in force yet: ${names.join(", ")}.`);
      return ExitCode.Failed;
    }
    await sleep(pollMs);
  }
}
