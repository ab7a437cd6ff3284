/**
 * Describes in a sentence the fault that the evidence shows.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { type Finding, Measure } from "./messages.ts";

const PERCENT_PER_UNIT = 100;

/** Describes a fault for operators, with its counts and the test's score. */
export function describeFinding(finding: Finding, scope: string): string {
  const { calls, bad, oldCalls, oldBad } = finding;
  const route = finding.route === "*" ? "All routes" : `Route ${finding.route}`;
  const odds = Math.exp(Math.min(finding.score, 100)).toExponential(0);
  return `${route} in ${scope}: ${bad} of ${calls} calls ` +
    `${describeMeasure(finding.measure)} (${
      formatRate(bad, calls)
    }), against ` +
    `${formatRate(oldBad, oldCalls)} of the old version's at the same time; ` +
    `the test gives odds of ${odds} to 1 for a fault.`;
}

function describeMeasure(measure: Measure): string {
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

function formatRate(bad: number, calls: number): string {
  if (calls < 1) return "no calls";
  return `${(PERCENT_PER_UNIT * bad / calls).toFixed(1)}%`;
}
