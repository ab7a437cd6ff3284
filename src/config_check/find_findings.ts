/**
 * Finds entries that never match and limits that contradict each other.
 * @module
 */
import { findRoute, hostnameOf } from "../routes/find_route.ts";
import type { Route, RouteTable } from "../routes/state.ts";
import type { ConfigDocument, Finding } from "./state.ts";

/**
 * Characters that a request target can't contain: Node.js rejects requests with
 * white space, control characters or bytes above ASCII there.
 */
const NOT_IN_TARGET = /[^\u0021-\u007e]/;

/**
 * White space, control characters and characters outside of Latin-1. Only a
 * malformed `Host` header contains them.
 */
// deno-lint-ignore no-control-regex
const NOT_IN_HOST = /[\u0000-\u0020\u007f]|[^\u0000-\u00ff]/;

/** Any port: it is removed before a host is looked up. */
const ANY_PORT = ":80";

/** Returns the findings of each part of the configuration, in its order. */
export function findFindings(document: ConfigDocument): readonly Finding[] {
  return [
    ...document.ignored,
    ...findInHosts(document),
    ...findUnusedServices(document),
    ...findInAccounts(document),
  ];
}

function findInHosts({ table, places }: ConfigDocument): Finding[] {
  return [...table.hosts].flatMap(([host, routes]): Finding[] => {
    const path = places.hosts.get(host) ?? "";
    const ofRoutes = [...routes.values()].flatMap((route) =>
      findInRoute(table, host, route, places.routes.get(route) ?? "")
    );
    if (NOT_IN_HOST.test(host)) {
      return [{ type: "malformed-host", path, host }, ...ofRoutes];
    }
    if (hasPort(host)) {
      return [{ type: "host-with-port", path, host }, ...ofRoutes];
    }
    return routes.size === 0
      ? [{ type: "host-without-routes", path, host }]
      : ofRoutes;
  });
}

/** The colons of an IPv6 literal in brackets are no port. */
function hasPort(host: string): boolean {
  return host.startsWith("[")
    ? hostnameOf(host).endsWith("]")
    : hostnameOf(host) !== host;
}

function findInRoute(
  table: RouteTable,
  host: string,
  route: Route,
  path: string,
): Finding[] {
  const { name, prefix, objectiveMs, timeoutMs } = route;
  const findings: Finding[] = [];
  // The longest prefix wins, so the request for the prefix itself has this
  // route if any request has.
  if (
    NOT_IN_TARGET.test(prefix) ||
    findRoute(table, host + ANY_PORT, prefix) !== route
  ) {
    findings.push({ type: "unreachable-prefix", path, route: name, prefix });
  }
  if (objectiveMs > timeoutMs) {
    findings.push({
      type: "objective-over-timeout",
      path,
      route: name,
      objectiveMs,
      timeoutMs,
    });
  }
  return findings;
}

function findUnusedServices({ table, places }: ConfigDocument): Finding[] {
  const used = new Set<string>();
  for (const routes of table.hosts.values()) {
    for (const { parts } of routes.values()) {
      for (const { service } of parts) used.add(service);
    }
  }
  return [...table.services.keys()]
    .filter((service) => !used.has(service))
    .map((service) => ({
      type: "unused-service",
      path: places.services.get(service) ?? "",
      service,
    }));
}

function findInAccounts({ table, places }: ConfigDocument): Finding[] {
  if (table.accounts === undefined) return [];
  const { byKey, byName } = table.accounts;
  const withKeys = new Set([...byKey.values()].map(({ account }) => account));
  return [...byName.values()].flatMap((account): Finding[] => {
    const { name, allowance } = account;
    const path = places.accounts.get(name) ?? "";
    const findings: Finding[] = [];
    if (!withKeys.has(account)) {
      findings.push({ type: "account-without-key", path, account: name });
    }
    if (allowance !== undefined && allowance.perSecond < allowance.burst) {
      findings.push({
        type: "burst-over-rate",
        path,
        account: name,
        allowance,
      });
    }
    return findings;
  });
}
