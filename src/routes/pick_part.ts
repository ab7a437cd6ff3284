/**
 * Shares the requests of a split route among its services.
 * @module
 */
import type { PartCredits, Route, RoutesState } from "./state.ts";

/**
 * Returns the service for the next request of a route. The rotation is exact
 * over any run of requests, so the shares hold on routes with few of them.
 */
export function pickPart(state: RoutesState, route: Route): string {
  const [only] = route.parts;
  if (only === undefined) throw new TypeError(`${route.name} has no service`);
  if (route.parts.length === 1) return only.service;
  const { parts, credits } = creditsOf(state, route);
  let best = 0;
  let total = 0;
  parts.forEach((part, index) => {
    credits[index] = (credits[index] ?? 0) + part.weight;
    total += part.weight;
    if ((credits[index] ?? 0) > (credits[best] ?? 0)) best = index;
  });
  credits[best] = (credits[best] ?? 0) - total;
  return parts[best]?.service ?? only.service;
}

function creditsOf(state: RoutesState, route: Route): PartCredits {
  const known = state.credits.get(route.name);
  if (known !== undefined && isSame(known, route)) return known;
  const fresh = { parts: route.parts, credits: route.parts.map(() => 0) };
  state.credits.set(route.name, fresh);
  return fresh;
}

function isSame(known: PartCredits, route: Route): boolean {
  return known.parts.length === route.parts.length &&
    known.parts.every((part, index) => {
      const other = route.parts[index];
      return part.service === other?.service && part.weight === other.weight;
    });
}
