/**
 * Finds the route of a request.
 * @module
 */
import type { Route, RouteTable } from "./state.ts";

/**
 * Returns the route of `host` with the longest prefix of the path. `target` is
 * the request target, with or without a query.
 */
export function findRoute(
  table: RouteTable,
  host: string,
  target: string,
): Route | undefined {
  const routes = table.hosts.get(nameOf(host));
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

/** Host name without a port, in lower case. */
function nameOf(host: string): string {
  const colon = host.lastIndexOf(":");
  return (colon < 0 ? host : host.slice(0, colon)).toLowerCase();
}
