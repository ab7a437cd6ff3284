/**
 * Reads the YAML lists for `apply`.
 * @module
 */
import { readdir, stat } from "node:fs/promises";
import { join } from "node:path";
import { err, ok, type Result } from "neverthrow";
import { formatProblem, type Lists, parseLists } from "../lists/parse_lists.ts";
import { keyOfUse } from "../lists/types.ts";
import type { CommandContext } from "./command.ts";
import { describeFile, readBytes, STDIN_NAME } from "./read_bytes.ts";

const MAX_FILE_BYTES = 8 * 1024 * 1024;

interface ListFile {
  readonly file: string;
  readonly text: string;
}

/**
 * Reads files, the YAML files of directories, and `-` for standard input.
 * A list may be split over files. Returns all problems, one line each.
 */
export async function readListFiles(
  opts: CommandContext,
  names: readonly string[],
): Promise<Result<Lists, readonly string[]>> {
  const problems: string[] = [];
  const parsed: { file: string; lists: Lists }[] = [];
  for (const name of await expandDirectories(names, problems)) {
    const read = await readText(opts, name);
    if (read.isErr()) {
      problems.push(read.error);
      continue;
    }
    const lists = parseLists(read.value);
    if (lists.isErr()) problems.push(...lists.error.map(formatProblem));
    else parsed.push({ file: read.value.file, lists: lists.value });
  }
  problems.push(...findDuplicateEntries(parsed));
  return problems.length > 0
    ? err(problems)
    : ok(merge(parsed.map(({ lists }) => lists)));
}

/** Replaces each directory by the YAML files in it, sorted by name. */
async function expandDirectories(
  names: readonly string[],
  problems: string[],
): Promise<string[]> {
  const files: string[] = [];
  for (const name of names) {
    const found = name === STDIN_NAME
      ? undefined
      : await stat(name).catch(() => undefined);
    if (found?.isDirectory() !== true) {
      files.push(name);
      continue;
    }
    const inside = (await readdir(name)).filter((one) => /\.ya?ml$/.test(one));
    if (inside.length === 0) problems.push(`${name}: has no YAML file.`);
    files.push(...inside.sort().map((one) => join(name, one)));
  }
  return files;
}

async function readText(
  opts: CommandContext,
  name: string,
): Promise<Result<ListFile, string>> {
  const bytes = await readBytes(opts, name, MAX_FILE_BYTES);
  if (bytes.isErr()) return err(bytes.error);
  const file = describeFile(name);
  try {
    const decoder = new TextDecoder("utf-8", { fatal: true });
    return ok({ file, text: decoder.decode(bytes.value) });
  } catch {
    return err(`${file}: not UTF-8.`);
  }
}

/** Finds entries in more than one file. `parseLists` checks within a file. */
function findDuplicateEntries(
  parsed: readonly { file: string; lists: Lists }[],
): string[] {
  const problems: string[] = [];
  const seen = new Map<string, string>();
  for (const { file, lists } of parsed) {
    const keys = [
      ...(lists.customers ?? []).map((one) => `customers/${one.customer}`),
      ...(lists.uses ?? []).map((one) =>
        `uses/${keyOfUse(one.plan, one.service)}`
      ),
    ];
    for (const key of keys) {
      const first = seen.get(key);
      if (first !== undefined) {
        problems.push(`${file}: entry ${key} stands in ${first} too.`);
      }
      seen.set(key, file);
    }
  }
  return problems;
}

function merge(all: readonly Lists[]): Lists {
  const customers = all.flatMap((one) => one.customers ?? []);
  const uses = all.flatMap((one) => one.uses ?? []);
  // A list that no file contains is omitted, so the edit does not change it.
  return {
    ...(all.some((one) => one.customers) ? { customers } : {}),
    ...(all.some((one) => one.uses) ? { uses } : {}),
  };
}
