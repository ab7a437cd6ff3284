/**
 * Starts a binary: reads settings, prints help or version, sets the exit code.
 * @module
 */
import process from "node:process";
import { formatError } from "../core/errors.ts";
import { readSettings, type SettingSpec } from "./read_settings.ts";

/** Version of all binaries. A test checks that it equals package.json's. */
export const LAGOON_VERSION = "0.1.0";

/** Exit code for invalid settings. */
const EXIT_USAGE = 2;

/** Options of `runBinary`. */
export interface RunBinaryOptions {
  readonly binary: string;
  readonly summary: string;
  readonly specs: readonly SettingSpec[];
  readonly positionals?: string;
  readonly main: (
    values: ReadonlyMap<string, string>,
    positionals: readonly string[],
  ) => Promise<void>;
}

/**
 * Runs `main` with checked settings. If they are invalid, prints the error with
 * a hint and sets exit code 2.
 */
export async function runBinary(opts: RunBinaryOptions): Promise<void> {
  const { main, ...rest } = opts;
  const argv = process.argv.slice(2);
  const read = readSettings({ ...rest, argv, env: process.env });
  if (read.isErr()) {
    process.stderr.write(`${formatError(read.error)}\n`);
    process.exitCode = EXIT_USAGE;
    return;
  }
  switch (read.value.type) {
    case "help":
      process.stdout.write(`${read.value.text}\n`);
      return;
    case "version":
      process.stdout.write(`${opts.binary} ${LAGOON_VERSION}\n`);
      return;
    case "values":
      return await main(read.value.values, read.value.positionals);
  }
}
