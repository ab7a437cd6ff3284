/**
 * Says in a sentence what the evidence shows.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { type Finding, Measure } from "./messages.ts";

const perCent = 100;

/** Describes a fault for operators, with its counts and the test's score. */
export function describeFinding(finding: Finding, scope: string): string {
  const { calls, bad, oldCalls, oldBad } = finding;
  const route = finding.route === "*" ? "All routes" : `Route ${finding.route}`;
  const odds = Math.exp(Math.min(finding.score, 100)).toExponential(0);
  return `${route} in ${scope}: ${bad} of ${calls} calls ` +
    `${verbOf(finding.measure)} (${rateOf(bad, calls)}), against ` +
    `${rateOf(oldBad, oldCalls)} of the old version's at the same time; ` +
    `the test gives odds of ${odds} to 1 for a fault.`;
}

function verbOf(measure: Measure): string {
  switch (measure) {
    case Measure.Errors:
      return "failed";
    case Measure.Slowness:
      return "were slow";
    case Measure.Overdue:
      return "hung";
    default:
      return exhausted(measure);
  }
}

function rateOf(bad: number, calls: number): string {
  if (calls < 1) return "no calls";
  return `${(perCent * bad / calls).toFixed(1)}%`;
}
