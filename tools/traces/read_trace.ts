/**
 * Reads a recorded trace and the file of outcomes that belongs to it.
 * @module
 */
import { readFile } from "node:fs/promises";
import { gunzipSync } from "node:zlib";

export interface StoredTrace {
  readonly lines: readonly string[];
  /** Names of the outcomes that the trace must show. */
  readonly outcomes: readonly string[];
}

const TRACE_FILE_PATTERN = /\.jsonl(\.gz)?$/;

/** Whether a file of the `traces` folder is a trace, not its outcomes. */
export function isTrace(file: string): boolean {
  return TRACE_FILE_PATTERN.test(file);
}

/** Reads `NAME.jsonl` or `NAME.jsonl.gz`, and `NAME.outcomes.json`. */
export async function readTrace(file: string): Promise<StoredTrace> {
  const bytes = await readFile(file);
  const text = (file.endsWith(".gz") ? gunzipSync(bytes) : bytes).toString();
  const stated = await readFile(
    file.replace(TRACE_FILE_PATTERN, ".outcomes.json"),
    "utf8",
  );
  return {
    lines: text.split("\n").filter((line) => line !== ""),
    outcomes: JSON.parse(stated) as string[],
  };
}
