import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { parseCallUrl } from "./parse_call_url.ts";
import { parseDeadline } from "./parse_deadline.ts";

test("plain URL is split", () => {
  assert.deepEqual(parseCallUrl("/portaal/a%20b/c?x=/../y"), {
    type: "parsed",
    service: "portaal",
    target: "/a%20b/c?x=/../y",
    path: "/a b/c",
  });
  assert.equal(parseCallUrl("/portaal?x").type, "parsed");
});

test("ambiguous paths are refused", () => {
  const ambiguous = [
    "/s/a/../b",
    "/s/a/./b",
    "/s//a",
    "/s/a%2fb",
    "/s/%2e%2e/b",
    "/s/%252e%252e/b",
    "/s/a\\b",
    "/s/..;x/b",
    "/s/%zz",
    "/s/%00",
    "//s/a",
    "/../s",
    "/s%2fa",
    "http://other/s/a",
    "*",
    "",
    `/s/${"a".repeat(9_000)}`,
  ];
  for (const url of ambiguous) {
    assert.equal(parseCallUrl(url).type, "refused", url);
  }
});

test("parsed path can't escape its prefix", () => {
  const part = fc.constantFrom(
    ...["a", "/", ".", "..", "%2e", "%2F", "%5c", "\\", "%25", ";", "?", "%41"],
  );
  checkProperty(
    fc.property(fc.array(part, { maxLength: 12 }), (parts) => {
      const parsed = parseCallUrl(`/s/${parts.join("")}`);
      if (parsed.type === "refused") return;
      const [path = ""] = parsed.target.split("?");
      const once = new URL(`http://h${path}`).pathname;
      assert.equal(decodeURIComponent(once), parsed.path);
      assert.ok(!parsed.path.split("/").includes(".."));
    }),
    { runs: 2_000 },
  );
});

test("deadlines are whole positive milliseconds", () => {
  assert.equal(parseDeadline("250"), 250);
  assert.equal(parseDeadline(undefined), Infinity);
  for (const bad of ["-1", "0", "1e9", "abc", "", "9".repeat(40), ["1"]]) {
    assert.equal(parseDeadline(bad), undefined);
  }
});
