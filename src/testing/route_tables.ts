/**
 * Small route tables for tests.
 * @module
 */
import type { Route, RouteTable } from "../routes/state.ts";

export const TEST_LIMITS = {
  headerBytes: 16_384,
  bodyBytes: 1_048_576,
  headerMs: 3_000,
  idleMs: 15_000,
};

/** Builds a route. Fields that are not given get defaults. */
export function routeOf(fields: Partial<Route> & { name: string }): Route {
  return {
    prefix: "/",
    isIdempotent: true,
    timeoutMs: 1_000,
    objectiveMs: 300,
    maxAttempts: 2,
    urgency: 1,
    parts: [{ service: "one", weight: 1 }],
    ...fields,
  };
}

/**
 * Builds a table with one host. Each path prefix is routed to a service, or to
 * several services with weights.
 */
export function tableOf(
  version: number,
  prefixes: Record<string, string | Record<string, number>>,
  host = "shop.example",
): RouteTable {
  const routes = new Map<string, Route>();
  const services = new Map<
    string,
    { maxConnections: number; healthCheckPath: string }
  >();
  for (const [prefix, to] of Object.entries(prefixes)) {
    const weights = typeof to === "string" ? { [to]: 1 } : to;
    const parts = Object.entries(weights)
      .map(([service, weight]) => ({ service, weight }));
    for (const { service } of parts) {
      services.set(service, {
        maxConnections: 100,
        healthCheckPath: "/health",
      });
    }
    routes.set(prefix, routeOf({ name: prefix, prefix, parts }));
  }
  return {
    version,
    hosts: new Map([[host, routes]]),
    services,
    limits: TEST_LIMITS,
  };
}
