/**
 * Reads a binary's settings from flags and environment variables.
 * @module
 */
import { parseArgs } from "node:util";
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";

/** Kinds of values, which decide how a value is checked. */
export const SettingKind = {
  Text: "text",
  /** `host:port`. */
  Address: "address",
  /** `host:port` items, separated by commas. */
  Addresses: "addresses",
  /** An `http:` URL. */
  Url: "url",
  Integer: "integer",
  /** Present or absent, without a value. */
  Switch: "switch",
} as const;
export type SettingKind = typeof SettingKind[keyof typeof SettingKind];

/**
 * One setting. Its environment variable is `LAGOON_` and the flag's name in
 * capitals, with underscores.
 */
export interface SettingSpec {
  readonly flag: string;
  readonly kind: SettingKind;
  /** Description for operators, in help and error messages. */
  readonly describe: string;
  /** Default value. */
  readonly fallback?: string;
  readonly isRequired?: boolean;
}

/** Options of `readSettings`. */
export interface ReadSettingsOptions {
  readonly binary: string;
  readonly summary: string;
  readonly specs: readonly SettingSpec[];
  readonly argv: readonly string[];
  readonly env: Readonly<Record<string, string | undefined>>;
  /**
   * Usage text of the arguments before the flags, such as `COMMAND [ARGS]`. If
   * absent, the binary takes none.
   */
  readonly positionals?: string;
}

export type SettingsRead =
  | { readonly type: "help"; readonly text: string }
  | { readonly type: "version" }
  | {
    readonly type: "values";
    readonly values: ReadonlyMap<string, string>;
    readonly positionals: readonly string[];
  };

/** Returns the name of a flag's environment variable. */
export function variableOf(flag: string): string {
  return `LAGOON_${flag.toUpperCase().replaceAll("-", "_")}`;
}

/**
 * Reads and checks settings. A flag overrides its environment variable. Fails
 * with `LAGOON_SETTINGS_INVALID`.
 */
export function readSettings(
  opts: ReadSettingsOptions,
): Result<SettingsRead, LagoonError> {
  const parsed = parseFlags(opts);
  if (parsed.isErr()) return err(parsed.error);
  const { values: flags, positionals } = parsed.value;
  if (flags.help === true) return ok({ type: "help", text: helpText(opts) });
  if (flags.version === true) return ok({ type: "version" });
  const values = new Map<string, string>();
  for (const spec of opts.specs) {
    const flag = flags[spec.flag];
    const given = flag === undefined
      ? opts.env[variableOf(spec.flag)] ?? spec.fallback
      : String(flag);
    if (given === undefined) {
      if (spec.isRequired !== true) continue;
      return err(settingError(opts, spec, "no value is given"));
    }
    const problem = checkValue(spec.kind, given);
    if (problem !== undefined) return err(settingError(opts, spec, problem));
    values.set(spec.flag, given);
  }
  return ok({ type: "values", values, positionals });
}

interface ParsedFlags {
  readonly values: Readonly<Record<string, unknown>>;
  readonly positionals: readonly string[];
}

function parseFlags(
  opts: ReadSettingsOptions,
): Result<ParsedFlags, LagoonError> {
  const options: Record<string, { type: "string" | "boolean" }> = {
    help: { type: "boolean" },
    version: { type: "boolean" },
  };
  for (const spec of opts.specs) {
    const isSwitch = spec.kind === SettingKind.Switch;
    options[spec.flag] = { type: isSwitch ? "boolean" : "string" };
  }
  try {
    return ok(parseArgs({
      args: [...opts.argv],
      options,
      allowPositionals: opts.positionals !== undefined,
    }));
  } catch (cause) {
    const message = cause instanceof Error ? cause.message : String(cause);
    return err({
      code: "LAGOON_SETTINGS_INVALID",
      step: `read the settings of ${opts.binary}`,
      message: message.split(". ")[0] ?? message,
      hint: `Run '${opts.binary} --help' for a list of flags.`,
    });
  }
}

function settingError(
  opts: ReadSettingsOptions,
  spec: SettingSpec,
  problem: string,
): LagoonError {
  return {
    code: "LAGOON_SETTINGS_INVALID",
    step: `read the settings of ${opts.binary}`,
    message: `--${spec.flag}: ${problem}`,
    hint: `Give --${spec.flag} or ${variableOf(spec.flag)}: ${spec.describe}.`,
  };
}

const ADDRESS_PATTERN = /^(\[[0-9a-fA-F:]+\]|[A-Za-z0-9.-]+):(\d{1,5})$/;
const MAX_PORT = 65_535;

function checkValue(kind: SettingKind, value: string): string | undefined {
  switch (kind) {
    case SettingKind.Text:
      return value === "" ? "expected a text, found an empty value" : undefined;
    case SettingKind.Address:
      return checkAddress(value);
    case SettingKind.Addresses:
      return splitList(value).map(checkAddress).find((one) => one);
    case SettingKind.Url:
      return /^http:\/\/[^/\s]+/.test(value)
        ? undefined
        : `expected a URL such as http://127.0.0.1:7000, found '${value}'`;
    case SettingKind.Integer:
      return /^\d{1,15}$/.test(value)
        ? undefined
        : `expected a whole number, found '${value}'`;
    case SettingKind.Switch:
      return value === "true" || value === "false"
        ? undefined
        : `expected true or false, found '${value}'`;
  }
}

function checkAddress(value: string): string | undefined {
  const port = Number(ADDRESS_PATTERN.exec(value)?.[2]);
  return port >= 1 && port <= MAX_PORT
    ? undefined
    : `expected host:port, found '${value}'`;
}

/** Splits a comma-separated value. Blank items are omitted. */
export function splitList(value: string | undefined): string[] {
  return (value ?? "").split(",").map((one) => one.trim()).filter((one) => one);
}

function helpText(opts: ReadSettingsOptions): string {
  const { binary, summary, specs } = opts;
  const usage = `Usage: ${binary} ${opts.positionals ?? ""} [flags]`;
  const flags = specs.map((spec) => {
    const value = spec.kind === SettingKind.Switch ? "" : ` <${spec.kind}>`;
    const fallback = spec.fallback === undefined
      ? ""
      : ` (default ${spec.fallback})`;
    const need = spec.isRequired === true ? " (required)" : "";
    return `  --${spec.flag}${value}\n      ${spec.describe}${fallback}${need}` +
      `\n      or ${variableOf(spec.flag)}`;
  });
  const common = "  --help\n  --version";
  return [summary, "", usage.replace("  ", " "), "", ...flags, common]
    .join("\n");
}
