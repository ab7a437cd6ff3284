/**
 * Reads a recorded trace and the outcomes stated beside it.
 * @module
 */
import { readFile } from "node:fs/promises";
import { gunzipSync } from "node:zlib";

export interface StoredTrace {
  readonly lines: readonly string[];
  readonly outcomes: readonly string[];
}

const ending = /\.jsonl(\.gz)?$/;

/** Tells traces from the other files beside them. */
export function isTrace(file: string): boolean {
  return ending.test(file);
}

/** Reads `NAME.jsonl` or `NAME.jsonl.gz`, and `NAME.outcomes.json`. */
export async function readTrace(file: string): Promise<StoredTrace> {
  const bytes = await readFile(file);
  const text = (file.endsWith(".gz") ? gunzipSync(bytes) : bytes).toString();
  const stated = await readFile(file.replace(ending, ".outcomes.json"), "utf8");
  return {
    lines: text.split("\n").filter((line) => line !== ""),
    outcomes: JSON.parse(stated) as string[],
  };
}
