/**
 * Settings and I/O functions that every command receives.
 * @module
 */

/** Values of the flags and I/O functions, passed to every command. */
export interface CommandContext {
  readonly values: ReadonlyMap<string, string>;
  readonly print: (line: string) => void;
  readonly printError: (line: string) => void;
  /** Reads standard input to its end. */
  readonly readInput: () => Promise<Uint8Array>;
  /** Wall clock of the operator, in milliseconds since 1970. */
  readonly wall: () => number;
}

/** Returns whether a switch, such as `--json`, is on. */
export function isOn(opts: CommandContext, flag: string): boolean {
  return opts.values.get(flag) === "true";
}
