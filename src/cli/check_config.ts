/**
 * The command `check`.
 * @module
 */
import { isUtf8 } from "node:buffer";
import { err, ok, type Result } from "neverthrow";
import { compareTables } from "../config_check/compare_tables.ts";
import { findFindings } from "../config_check/find_findings.ts";
import { findStaleVersion } from "../config_check/find_stale_version.ts";
import { formatDifference } from "../config_check/format_difference.ts";
import { formatFinding } from "../config_check/format_finding.ts";
import type {
  ConfigProblem,
  ConfigReader,
  ConfigReading,
  Difference,
  Finding,
} from "../config_check/state.ts";
import type { RouteTable } from "../routes/state.ts";
import { exhausted } from "../core/exhausted.ts";
import { type CommandContext, isOn } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { describeFile, readBytes, STDIN_NAME } from "./read_bytes.ts";

/** Far above a configuration of 10,000 routes and accounts. */
const MAX_FILE_BYTES = 64 * 1024 * 1024;

/** Options of `checkConfig`. */
export interface CheckConfigOptions extends CommandContext {
  readonly files: readonly string[];
  readonly readConfig: ConfigReader;
}

/** A configuration file that was parsed. */
interface ParsedFile {
  /** Name for messages. */
  readonly file: string;
  readonly reading: Exclude<ConfigReading, { readonly type: "unreadable" }>;
}

/** An error and the file that it is in. */
interface FileProblem extends ConfigProblem {
  readonly file: string;
}

interface Report {
  readonly file: string;
  readonly against: string | undefined;
  /** Why nodes would reject either file. */
  readonly errors: readonly FileProblem[];
  readonly findings: readonly Finding[];
  /** Undefined without a comparison. */
  readonly differences: readonly Difference[] | undefined;
}

/**
 * Checks a configuration, and compares it with the one in force if `--against`
 * names it. Differences are no findings. Needs no node.
 */
export async function checkConfig(
  opts: CheckConfigOptions,
): Promise<ExitCode> {
  const [name, ...more] = opts.files;
  const againstName = opts.values.get("against");
  if (name === undefined || more.length > 0) {
    opts.printError("Name one file, or '-' for standard input.");
    return ExitCode.Usage;
  }
  if (name === STDIN_NAME && againstName === STDIN_NAME) {
    opts.printError("Only one of the two files can be standard input.");
    return ExitCode.Usage;
  }
  const checked = await readConfigFile(opts, name);
  const against = againstName === undefined
    ? ok(undefined)
    : await readConfigFile(opts, againstName);
  if (checked.isErr() || against.isErr()) {
    for (const read of [checked, against]) {
      if (read.isErr()) opts.printError(read.error);
    }
    return ExitCode.Usage;
  }
  const report = createReport(checked.value, against.value);
  const lines = isOn(opts, "json")
    ? [JSON.stringify(toDocument(report), null, 2)]
    : formatReport(report);
  for (const line of lines) opts.print(line);
  return report.errors.length + report.findings.length === 0
    ? ExitCode.Done
    : ExitCode.Failed;
}

async function readConfigFile(
  opts: CheckConfigOptions,
  name: string,
): Promise<Result<ParsedFile, string>> {
  const bytes = await readBytes(opts, name, MAX_FILE_BYTES);
  if (bytes.isErr()) return err(bytes.error);
  const file = describeFile(name);
  if (!isUtf8(bytes.value)) return err(`${file}: not UTF-8.`);
  const reading = opts.readConfig(bytes.value);
  return reading.type === "unreadable"
    ? err(`${file}: ${reading.reason}.`)
    : ok({ file, reading });
}

function createReport(
  checked: ParsedFile,
  against: ParsedFile | undefined,
): Report {
  const errors = [
    ...errorsOf(checked),
    ...(against === undefined ? [] : errorsOf(against)),
  ];
  const table = tableOf(checked);
  const inForce = against && tableOf(against);
  const differences = table && inForce && compareTables(inForce, table);
  const findings = [
    ...(checked.reading.type === "valid"
      ? findFindings(checked.reading.document)
      : []),
    // The file in force itself, unchanged, is no mistake.
    ...(table && inForce && differences !== undefined && differences.length > 0
      ? findStaleVersion(table, inForce)
      : []),
  ];
  const { file } = checked;
  return { file, against: against?.file, errors, findings, differences };
}

function errorsOf({ file, reading }: ParsedFile): readonly FileProblem[] {
  switch (reading.type) {
    case "valid":
      return [];
    case "invalid":
      return reading.problems.map((problem) => ({ file, ...problem }));
    default:
      return exhausted(reading);
  }
}

function tableOf({ reading }: ParsedFile): RouteTable | undefined {
  return reading.type === "valid" ? reading.document.table : undefined;
}

function formatReport(report: Report): string[] {
  const { file, against, errors, findings, differences } = report;
  const errorLines = errors.map((error) =>
    `${error.file}: error: ${placeOf(error)}: ${error.message}`
  );
  const findingLines = findings.map((finding) =>
    `${file}: ${placeOf(finding)}: ${formatFinding(finding)}`
  );
  const differenceLines = differences?.flatMap((one) => formatDifference(one));
  return [
    ...errorLines,
    ...findingLines,
    ...differenceLines ?? [],
    ...(differences === undefined
      ? []
      : [`${differences.length} entries differ from ${against}.`]),
    ...(errors.length > 0
      ? ["Nodes reject a file with errors. It was not checked further."]
      : []),
    `${errors.length} errors, ${findings.length} findings.`,
  ];
}

function placeOf({ path }: { readonly path: string }): string {
  return path === "" ? "file" : path;
}

function toDocument(report: Report) {
  const { findings, differences, ...rest } = report;
  return {
    ...rest,
    findings: findings.map((finding) => ({
      ...finding,
      message: formatFinding(finding),
    })),
    differences: differences?.map((difference) => ({
      ...difference,
      lines: formatDifference(difference),
    })),
  };
}
