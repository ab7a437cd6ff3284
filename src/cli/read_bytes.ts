/**
 * Reads a file that an operator names.
 * @module
 */
import { readFile } from "node:fs/promises";
import { err, ok, type Result } from "neverthrow";
import type { CommandContext } from "./command.ts";

/** File name that means standard input. */
export const STDIN_NAME = "-";

/** Returns the name of a file for messages. */
export function describeFile(name: string): string {
  return name === STDIN_NAME ? "standard input" : name;
}

/** Returns the bytes of a file or of standard input, or a sentence. */
export async function readBytes(
  opts: CommandContext,
  name: string,
  maxBytes: number,
): Promise<Result<Uint8Array, string>> {
  const file = describeFile(name);
  try {
    const bytes = name === STDIN_NAME
      ? await opts.readInput()
      : await readFile(name);
    return bytes.length > maxBytes
      ? err(`${file}: the file has more than ${maxBytes} bytes.`)
      : ok(bytes);
  } catch {
    return err(`${file}: can't be read.`);
  }
}
