/**
 * Splits the requests of a route among its services by weight.
 * @module
 */
import type { Route, RouteRemainders, RoutesState } from "./state.ts";

/**
 * Returns the service for the next request of a route, by smooth weighted
 * round-robin. The shares are exact over each full cycle of the weights and
 * deviate little in between, so they also hold on routes with few requests.
 */
export function pickService(state: RoutesState, route: Route): string {
  const [only] = route.parts;
  if (only === undefined) throw new TypeError(`${route.name} has no service`);
  if (route.parts.length === 1) return only.service;
  const { parts, remainders } = remaindersOf(state, route);
  let best = 0;
  let total = 0;
  parts.forEach((part, index) => {
    remainders[index] = (remainders[index] ?? 0) + part.weight;
    total += part.weight;
    if ((remainders[index] ?? 0) > (remainders[best] ?? 0)) best = index;
  });
  remainders[best] = (remainders[best] ?? 0) - total;
  return parts[best]?.service ?? only.service;
}

function remaindersOf(state: RoutesState, route: Route): RouteRemainders {
  const known = state.remainders.get(route.name);
  if (known !== undefined && hasSameParts(known, route)) return known;
  const fresh = { parts: route.parts, remainders: route.parts.map(() => 0) };
  state.remainders.set(route.name, fresh);
  return fresh;
}

function hasSameParts(known: RouteRemainders, route: Route): boolean {
  return known.parts.length === route.parts.length &&
    known.parts.every((part, index) => {
      const other = route.parts[index];
      return part.service === other?.service && part.weight === other.weight;
    });
}
