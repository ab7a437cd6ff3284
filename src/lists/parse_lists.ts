/**
 * Parses an operator's YAML document into checked lists.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import { type Document, isNode, LineCounter, parseDocument } from "yaml";
import { customerSchema, useSchema } from "./schemas.ts";
import { type CustomerEntry, keyOfUse, type UseEntry } from "./types.ts";

/** Maximum length of a document, in characters. */
const MAX_DOCUMENT_LENGTH = 8 * 1024 * 1024;

/** Lists as an operator wrote them. An absent list is left unchanged. */
export interface Lists {
  readonly customers?: readonly CustomerEntry[];
  readonly uses?: readonly UseEntry[];
}

/** An error in a document: its place and what was expected there. */
export interface ListProblem {
  readonly code: "LAGOON_LIST_INVALID";
  readonly file: string;
  readonly line: number;
  /** Entry with the error, such as `uses[2] (basic/portaal)`. */
  readonly entry: string;
  readonly message: string;
}

/** Options of `parseLists`. */
export interface ParseListsOptions {
  /** Name of the file, for messages. */
  readonly file: string;
  readonly text: string;
}

const listsSchema = v.strictObject({
  customers: v.exactOptional(v.array(customerSchema, "expected a list")),
  uses: v.exactOptional(v.array(useSchema, "expected a list")),
});

type Path = readonly (string | number)[];

/** Parses one document. Returns all of its problems, not only the first. */
export function parseLists(
  opts: ParseListsOptions,
): Result<Lists, readonly ListProblem[]> {
  const { file, text } = opts;
  if (text.length > MAX_DOCUMENT_LENGTH) {
    return err([problemAt(file, 1, "document", "expected at most 8 MiB")]);
  }
  const lines = new LineCounter();
  const doc = parseDocument(text, { lineCounter: lines });
  if (doc.errors.length > 0) {
    return err(doc.errors.map((error) => {
      const line = lines.linePos(error.pos[0]).line;
      const message = error.message.split("\n")[0] ?? error.message;
      return problemAt(file, line, "document", message);
    }));
  }
  const raw = readValue(doc);
  if (raw.isErr()) return err([problemAt(file, 1, "document", raw.error)]);
  const lineOf = (path: Path) => findLine(doc, lines, path);
  const parsed = v.safeParse(listsSchema, raw.value);
  if (!parsed.success) {
    return err(parsed.issues.map((issue) => {
      const path = (issue.path ?? []).map((item) => item.key as string);
      const field = path.slice(2).join(".");
      const message = (field === "" ? "" : `${field}: `) + describeIssue(issue);
      return problemAt(file, lineOf(path), nameEntry(raw.value, path), message);
    }));
  }
  const duplicates = findDuplicates(parsed.output).map(({ path, message }) =>
    problemAt(file, lineOf(path), nameEntry(raw.value, path), message)
  );
  return duplicates.length > 0 ? err(duplicates) : ok(parsed.output);
}

/** Refuses YAML aliases: a few lines of them can expand to gigabytes. */
function readValue(doc: Document): Result<unknown, string> {
  try {
    const value: unknown = doc.toJS({ maxAliasCount: 0 });
    return Array.isArray(value)
      ? err("expected 'customers:' or 'uses:', found a list")
      : ok(value);
  } catch {
    return err("aliases are not allowed, write the entry in full");
  }
}

function problemAt(
  file: string,
  line: number,
  entry: string,
  message: string,
): ListProblem {
  return { code: "LAGOON_LIST_INVALID", file, line, entry, message };
}

/** Formats a problem as `file:line: entry: message`. */
export function formatProblem(problem: ListProblem): string {
  const { file, line, entry, message, code } = problem;
  return `${file}:${line}: ${entry}: ${message} [${code}]`;
}

function describeIssue(issue: v.BaseIssue<unknown>): string {
  if (issue.type !== "strict_object") return issue.message;
  if (issue.expected === "never") return "unknown field";
  if (issue.expected?.startsWith('"')) return "missing field";
  return issue.message;
}

function findLine(doc: Document, lines: LineCounter, path: Path): number {
  // A missing field has no node, so the line of its nearest parent is used.
  for (let length = path.length; length >= 0; length--) {
    const node = length === 0
      ? doc.contents
      : doc.getIn(path.slice(0, length), true);
    if (isNode(node) && node.range) return lines.linePos(node.range[0]).line;
  }
  return 1;
}

function nameEntry(raw: unknown, path: Path): string {
  const [list, index] = path;
  if (list === undefined) return "document";
  if (index === undefined) return String(list);
  const rows = (raw as Record<string, unknown>)[list];
  const row = Array.isArray(rows) ? rows[Number(index)] : undefined;
  const key = keyOfRow(row);
  return `${list}[${index}]${key === undefined ? "" : ` (${key})`}`;
}

function keyOfRow(row: unknown): string | undefined {
  if (row === null || typeof row !== "object") return undefined;
  const { customer, plan, service } = row as Record<string, unknown>;
  if (typeof customer === "string") return customer;
  if (typeof plan !== "string") return undefined;
  return typeof service === "string" ? keyOfUse(plan, service) : plan;
}

function findDuplicates(lists: Lists): { path: Path; message: string }[] {
  const customers = (lists.customers ?? []).map((one) => one.customer);
  const uses = (lists.uses ?? []).map((one) => keyOfUse(one.plan, one.service));
  return [
    ...duplicatesIn("customers", customers),
    ...duplicatesIn("uses", uses),
  ];
}

function duplicatesIn(list: string, keys: readonly string[]) {
  return keys.flatMap((key, index) =>
    keys.indexOf(key) === index
      ? []
      : [{ path: [list, index], message: `entry ${key} is listed twice` }]
  );
}
