/**
 * Finds the route of a request.
 * @module
 */
import type { Route, RouteTable } from "./state.ts";

/**
 * Returns the route of `host` with the longest prefix that matches the path of
 * `target`, a request target with or without a query.
 */
export function findRoute(
  table: RouteTable,
  host: string,
  target: string,
): Route | undefined {
  const routes = table.hosts.get(hostnameOf(host));
  if (routes === undefined) return undefined;
  const query = target.indexOf("?");
  const path = query < 0 ? target : target.slice(0, query);
  let end = path.lastIndexOf("/");
  while (end >= 0) {
    const route = routes.get(path.slice(0, end + 1));
    if (route !== undefined) return route;
    end = end === 0 ? -1 : path.lastIndexOf("/", end - 1);
  }
  return undefined;
}

/** Returns the host name without its port, in lower case. */
export function hostnameOf(host: string): string {
  const colon = host.lastIndexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
