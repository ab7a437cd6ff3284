/**
 * Schemas of list entries, for the operators' documents and the log's records.
 * @module
 */
import * as v from "valibot";
import { WhenUnjudged } from "./types.ts";

/** Maximum length of a name, in characters. */
const MAX_NAME_LENGTH = 100;
/** Maximum number of routes of one use entry. */
const MAX_ROUTES = 200;
/** Maximum timeout of a route. */
const MAX_TIMEOUT_MS = 600_000;
/** Timeout of a route whose entry sets no timeout. */
const DEFAULT_TIMEOUT_MS = 10_000;

const NAME_HINT = "expected letters, digits, '.', '_' or '-', at most 100";

/** Name of a customer, plan, service, version or route. */
export const nameSchema = v.pipe(
  v.string("expected a text"),
  v.maxLength(MAX_NAME_LENGTH, NAME_HINT),
  v.regex(/^[A-Za-z0-9][A-Za-z0-9._-]*$/, NAME_HINT),
);

export const customerSchema = v.strictObject({
  customer: nameSchema,
  plan: nameSchema,
});

const methodSchema = v.picklist(
  ["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE", "OPTIONS"],
  "expected an HTTP method in capitals",
);

const pathSchema = v.pipe(
  v.string("expected a path"),
  v.maxLength(500, "expected at most 500 characters"),
  v.regex(/^\/[^?#\s]*$/, "expected a path that starts with '/'"),
);

const timeoutSchema = v.pipe(
  v.number("expected milliseconds"),
  v.integer("expected whole milliseconds"),
  v.minValue(1, "expected at least 1 ms"),
  v.maxValue(MAX_TIMEOUT_MS, "expected at most 600000 ms"),
);

export const routeSchema = v.strictObject({
  name: nameSchema,
  path: pathSchema,
  methods: v.pipe(
    v.array(methodSchema, "expected a list of methods"),
    v.minLength(1, "expected at least one method"),
  ),
  repeatable: v.optional(v.boolean("expected true or false"), false),
  timeoutMs: v.optional(timeoutSchema, DEFAULT_TIMEOUT_MS),
});

const timeSchema = v.pipe(
  v.string("expected a time such as 2026-12-05T18:00:00Z"),
  v.regex(
    /^\d{4}-\d\d-\d\dT\d\d:\d\d:\d\d(\.\d{1,3})?Z$/,
    "expected a time such as 2026-12-05T18:00:00Z",
  ),
  v.check((text) => !Number.isNaN(Date.parse(text)), "no such time"),
);

export const useSchema = v.strictObject({
  plan: nameSchema,
  service: nameSchema,
  version: nameSchema,
  takeOverBy: v.exactOptional(timeSchema),
  whenUnjudged: v.optional(
    v.picklist(
      Object.values(WhenUnjudged),
      "expected 'proceed' or 'hold'",
    ),
    WhenUnjudged.Proceed,
  ),
  routes: v.pipe(
    v.array(routeSchema, "expected a list of routes"),
    v.minLength(1, "expected at least one route"),
    v.maxLength(MAX_ROUTES, "expected at most 200 routes"),
    v.check(
      (routes) => hasUniqueNames(routes),
      "two routes have the same name",
    ),
  ),
});

function hasUniqueNames(routes: readonly { name: string }[]): boolean {
  return new Set(routes.map((route) => route.name)).size === routes.length;
}
