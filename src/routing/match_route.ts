/**
 * Finds the route that a customer's call may use.
 * @module
 */
import { keyOfUse, type RouteRule } from "../lists/types.ts";
import type { ServedService, ServingConfig } from "../serving/state.ts";

export type RouteMatch =
  | {
    readonly type: "matched";
    readonly served: ServedService;
    readonly route: RouteRule;
  }
  | {
    readonly type: "refused";
    readonly status: number;
    readonly code: `LAGOON_${string}`;
    readonly reason: string;
  };

/** Options of `matchRoute`. */
export interface MatchRouteOptions {
  readonly config: ServingConfig;
  readonly customer: string | undefined;
  readonly method: string;
  readonly service: string;
  /** Decoded path below the service, without a query. */
  readonly path: string;
}

/** Matches a call to a route of the customer's plan, or refuses it. */
export function matchRoute(opts: MatchRouteOptions): RouteMatch {
  const { config, customer, service } = opts;
  if (customer === undefined || customer === "") {
    return refuse(400, "LAGOON_CALL_NO_CUSTOMER", "no customer is named");
  }
  const plan = config.planOf.get(customer);
  if (plan === undefined) {
    const reason = `customer ${customer} holds no plan`;
    return refuse(403, "LAGOON_CALL_NO_PLAN", reason);
  }
  const key = keyOfUse(plan, service);
  const served = config.services.get(key);
  if (served === undefined) return refuseService(config, key);
  const routes = served.routes.filter((route) => covers(route, opts.path));
  const route = routes.find((one) => one.methods.includes(opts.method));
  if (route !== undefined) return { type: "matched", served, route };
  return routes.length === 0
    ? refuse(403, "LAGOON_CALL_NO_ROUTE", `plan ${plan} has no such route`)
    : refuse(405, "LAGOON_CALL_METHOD", `${opts.method} is not allowed`);
}

function refuseService(config: ServingConfig, key: string): RouteMatch {
  return config.inactive.has(key)
    ? refuse(503, "LAGOON_CALL_SERVICE_ABSENT", `${key} has no upstream now`)
    : refuse(403, "LAGOON_CALL_NO_SERVICE", `${key} is not allowed`);
}

/**
 * Returns whether the route's path is a prefix of the path in complete
 * segments: `/jobs` covers `/jobs/1`, not `/jobsite`.
 */
function covers(route: RouteRule, path: string): boolean {
  if (!path.startsWith(route.path)) return false;
  const endsSegment = route.path.endsWith("/") ||
    path.length === route.path.length;
  return endsSegment || path[route.path.length] === "/";
}

function refuse(
  status: number,
  code: `LAGOON_${string}`,
  reason: string,
): RouteMatch {
  return { type: "refused", status, code, reason };
}
