import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import {
  createAccountTable,
  type ListedAccount,
} from "../accounts/create_account_table.ts";
import { findRoute } from "../routes/find_route.ts";
import type { RouteTable } from "../routes/state.ts";
import { checkProperty } from "../testing/check_property.ts";
import { routeOf, tableOf } from "../testing/route_tables.ts";
import { compareTables } from "./compare_tables.ts";
import { findFindings } from "./find_findings.ts";
import { findStaleVersion } from "./find_stale_version.ts";
import { formatDifference } from "./format_difference.ts";
import { formatFinding } from "./format_finding.ts";

const PLACES = {
  hosts: new Map(),
  routes: new Map(),
  services: new Map(),
  accounts: new Map(),
};

function typesIn(table: RouteTable): string[] {
  const document = { table, places: PLACES, ignored: [] };
  const findings = findFindings(document);
  for (const finding of findings) assert.ok(formatFinding(finding).length > 9);
  return findings.map(({ type }) => type);
}

const lines = (from: RouteTable, to: RouteTable) =>
  compareTables(from, to).flatMap((one) => formatDifference(one));
const accountOf = (name: string, keys: string[], rate = 0, burst = rate) => ({
  account: {
    name,
    urgency: 1,
    allowance: rate === 0 ? undefined : { perSecond: rate, burst },
  },
  keys,
});
const withAccounts = (...listed: ListedAccount[]) => ({
  ...tableOf(1, { "/": "one" }),
  accounts: createAccountTable(listed, undefined)._unsafeUnwrap(),
});

test("entries that some request matches are not reported", () => {
  const prefixes = ["/", "/a/", "/a/b/", "//", "/../", "/%20/", "/#/", '/"{/'];
  const services = Object.fromEntries(prefixes.map((one) => [one, "one"]));
  for (const host of ["shop.example", "[::1]", "[:", "a_b", "*.example", "ü"]) {
    assert.deepEqual(typesIn(tableOf(1, services, host)), [], host);
  }
  const same = routeOf({ name: "r", objectiveMs: 5, timeoutMs: 5 });
  const hosts = new Map([["a", new Map([["/", same]])]]);
  assert.deepEqual(typesIn({ ...tableOf(1, { "/": "one" }), hosts }), []);
});

test("reported prefix is the route of no request", () => {
  const segment = fc.constantFrom("", "a", "?", "a?b", "..", "A");
  const pathOf = (segments: readonly string[]) =>
    segments.map((one) => `${one}/`).join("");
  const segments = fc.array(segment, { maxLength: 4 });
  checkProperty(
    fc.property(
      fc.array(segments, { minLength: 1, maxLength: 6 }),
      segments,
      (prefixes, target) => {
        const services = prefixes.map((one) => [`/${pathOf(one)}`, "one"]);
        const table = tableOf(1, Object.fromEntries(services));
        const route = findRoute(table, "shop.example", `/${pathOf(target)}`);
        const findings = findFindings({ table, places: PLACES, ignored: [] });
        for (const finding of findings) {
          assert.equal(finding.type, "unreachable-prefix");
          if (finding.type !== "unreachable-prefix") continue;
          assert.notEqual(finding.prefix, route?.prefix);
          assert.ok(finding.prefix.includes("?"));
        }
      },
    ),
    { runs: 300 },
  );
});

test("prefix outside of request paths is reported", () => {
  for (const prefix of ["/a?b/", "/a b/", "/é/", "/\t/"]) {
    const found = typesIn(tableOf(1, { "/": "one", [prefix]: "one" }));
    assert.deepEqual(found, ["unreachable-prefix"], prefix);
  }
});

test("host that no Host header names is reported", () => {
  const typesOf = (host: string) => typesIn(tableOf(1, { "/": "one" }, host));
  for (const host of ["shop.example:8080", "shop:", "[::1]:80", "a:b"]) {
    assert.deepEqual(typesOf(host), ["host-with-port"], host);
  }
  for (const host of ["shop example", " shop", "\u0001", "shop\u4e2d"]) {
    assert.deepEqual(typesOf(host), ["malformed-host"], host);
  }
  const table = tableOf(1, { "/": "one" });
  const hosts = new Map(table.hosts).set("empty", new Map());
  assert.deepEqual(typesIn({ ...table, hosts }), ["host-without-routes"]);
});

test("service without a rule is reported", () => {
  const table = tableOf(1, { "/": "one" });
  const spare = { maxConnections: 1, healthCheckPath: "/" };
  const services = new Map([...table.services, ["spare", spare]]);
  assert.deepEqual(typesIn({ ...table, services }), ["unused-service"]);
});

test("limits that contradict each other are reported", () => {
  const late = routeOf({ name: "r", objectiveMs: 6, timeoutMs: 5 });
  const hosts = new Map([["a", new Map([["/", late]])]]);
  const table = { ...tableOf(1, { "/": "one" }), hosts };
  assert.deepEqual(typesIn(table), ["objective-over-timeout"]);
  const typesOf = (...listed: ListedAccount[]) =>
    typesIn(withAccounts(...listed));
  assert.deepEqual(typesOf(accountOf("a", ["k"], 5, 6)), ["burst-over-rate"]);
  assert.deepEqual(typesOf(accountOf("a", ["k"], 5, 5)), []);
  assert.deepEqual(typesOf(accountOf("a", [])), ["account-without-key"]);
});

test("version that nodes ignore is reported", () => {
  const types = (version: number) =>
    findStaleVersion(tableOf(version, {}), tableOf(4, {}))
      .map(({ type }) => type);
  assert.deepEqual(types(4), ["version-not-newer"]);
  assert.deepEqual(types(5), []);
});

test("differences show old and new values, and keys only by number", () => {
  const from = tableOf(1, { "/a/": { one: 90, two: 10 }, "/b/": "one" });
  const to = tableOf(2, { "/a/": { one: 80, two: 20 }, "/c/": "three" });
  assert.deepEqual(lines(from, from), []);
  const route = "repeatable yes, timeout 1000 ms, objective 300 ms, " +
    "attempts 2, urgency 1, anonymous no";
  assert.deepEqual(lines(from, to), [
    "~ version: 1 -> 2",
    "~ route shop.example/a/: services: one 90, two 10 -> one 80, two 20",
    `- route shop.example/b/: name /b/, services one, ${route}`,
    `+ route shop.example/c/: name /c/, services three, ${route}`,
    "+ service three: connections 100, health path /health, " +
    "while cold no limit",
  ]);
  const terms = {
    maxConnections: 9,
    healthCheckPath: "/h",
    coldPerSecond: 8.4,
  };
  const services = new Map([["one", terms], ["two", terms]]);
  const limits = { ...from.limits, bodyBytes: 5 };
  assert.deepEqual(lines(from, { ...from, services, limits }).slice(0, 4), [
    "~ limits: body size: 1048576 B -> 5 B",
    "~ service one: connections: 100 -> 9",
    "~ service one: health path: /health -> /h",
    "~ service one: while cold: no limit -> 8.4 per second",
  ]);
});

test("differences of accounts count keys that move between accounts", () => {
  const from = withAccounts(
    accountOf("a", ["k-1", "k-2"], 5),
    accountOf("b", ["k-3"]),
    accountOf("c", ["k-4"]),
  );
  const to = withAccounts(
    accountOf("a", ["k-2", "k-3"], 6),
    accountOf("c", ["k-4"]),
    accountOf("d", ["k-1"]),
  );
  assert.deepEqual(lines(from, to), [
    "~ account a: rate: 5 per second, burst 5 -> 6 per second, burst 6",
    "~ account a: keys: 1 added, 1 removed",
    "- account b: urgency 1, rate no limit, keys 1",
    "+ account d: urgency 1, rate no limit, keys 1",
  ]);
  const open = tableOf(1, { "/": "one" });
  assert.equal(lines(open, from)[0], "~ requests need an API key");
  assert.match(lines(from, open)[0] ?? "", /no API key any more/);
});
