import { test } from "node:test";
import assert from "node:assert/strict";
import { formatProblem, parseLists } from "./parse_lists.ts";
import { planEdit } from "./plan_edit.ts";

const LISTS_TEXT = `customers:
  - { customer: baker, plan: basic }
uses:
  - plan: basic
    service: portaal
    version: v1
    routes:
      - { name: accounts, path: /accounts, methods: [GET] }
`;

function problemsOf(broken: string): string[] {
  const parsed = parseLists({ file: "lists.yaml", text: broken });
  return parsed.isErr() ? parsed.error.map(formatProblem) : [];
}

test("valid lists get defaults", () => {
  const lists = parseLists({ file: "lists.yaml", text: LISTS_TEXT })
    ._unsafeUnwrap();
  assert.equal(lists.uses?.[0]?.routes[0]?.repeatable, false);
  assert.equal(lists.uses?.[0]?.whenUnjudged, "proceed");
});

test("bad field is reported with file, line and entry", () => {
  const [problem] = problemsOf(LISTS_TEXT.replace("v1", "'not a name'"));
  assert.match(
    problem ?? "",
    /^lists.yaml:6: uses\[0\] \(basic\/portaal\): version: expected letters/,
  );
});

test("missing field is reported at its entry", () => {
  const [problem] = problemsOf(LISTS_TEXT.replace("    version: v1\n", ""));
  assert.match(problem ?? "", /^lists.yaml:4: .*version: missing field/);
});

test("unknown field is reported", () => {
  const [problem] = problemsOf(
    LISTS_TEXT.replace("plan: basic }", "plam: basic }"),
  );
  assert.match(problem ?? "", /^lists.yaml:2: customers\[0\] \(baker\)/);
});

test("invalid YAML is reported with its line", () => {
  const [problem] = problemsOf(LISTS_TEXT.replace("[GET]", "[GET"));
  assert.match(problem ?? "", /^lists.yaml:[89]: document: /);
});

test("duplicate entry is reported", () => {
  const twice = LISTS_TEXT.replace(
    "uses:",
    "  - { customer: baker, plan: gold }\nuses:",
  );
  const [problem] = problemsOf(twice);
  assert.match(problem ?? "", /^lists.yaml:3: .*entry baker is listed twice/);
});

test("aliases are refused", () => {
  const [problem] = problemsOf("customers: &all []\nuses: *all\n");
  assert.match(problem ?? "", /^lists.yaml:1: document: aliases/);
});

test("empty and malformed documents are reported", () => {
  for (const malformed of ["", "7", "[]", "customers: 7"]) {
    assert.match(problemsOf(malformed)[0] ?? "", /^lists.yaml:1: /);
  }
});

test("unchanged lists need no edit", () => {
  const asked = parseLists({ file: "lists.yaml", text: LISTS_TEXT })
    ._unsafeUnwrap();
  const withRevision = <T>(entry: T) => ({ revision: 7, entry });
  const current = {
    customers: asked.customers?.map(withRevision) ?? [],
    uses: asked.uses?.map(withRevision) ?? [],
  };
  assert.deepEqual(planEdit({ current, requested: asked }), []);
  const fewer = planEdit({ current, requested: { customers: [] } });
  assert.deepEqual(fewer, [
    { list: "customers", key: "baker", expected: 7, value: null },
  ]);
});
