/**
 * Decides whether a compiled configuration may replace the one in force.
 * @module
 */
import type { ServingConfig } from "./state.ts";

export type SwapDecision =
  | { readonly type: "swap" }
  | { readonly type: "older"; readonly reason: string }
  | { readonly type: "broken"; readonly reason: string };

/** Options of `decideSwap`. */
export interface DecideSwapOptions {
  readonly current: ServingConfig | undefined;
  readonly candidate: ServingConfig;
  /**
   * Version floor: highest version known to have been applied at this node's
   * address, also by an earlier process.
   */
  readonly floor: number;
}

/** Refuses an older version, and a version that lacks a customer's plan. */
export function decideSwap(opts: DecideSwapOptions): SwapDecision {
  const { candidate, current, floor } = opts;
  const lowestAllowed = Math.max(floor, current?.version ?? 0);
  if (candidate.version < lowestAllowed) {
    return {
      type: "older",
      reason: `version ${candidate.version} is below ${lowestAllowed}`,
    };
  }
  const plan = findUndefinedPlan(candidate);
  if (plan !== undefined) {
    return {
      type: "broken",
      reason: `customers hold plan ${plan}, which nothing defines`,
    };
  }
  return { type: "swap" };
}

function findUndefinedPlan(candidate: ServingConfig): string | undefined {
  const defined = new Set<string>();
  for (const served of candidate.services.values()) defined.add(served.plan);
  for (const key of candidate.inactive) defined.add(key.split("/")[0] ?? "");
  return [...candidate.plansHeld].find((plan) => !defined.has(plan));
}
