/**
 * Judges the fleet and each of its failure domains.
 * @module
 */
import { createAnalysisState } from "./create_track.ts";
import { hasOpenHold } from "./has_open_hold.ts";
import { analyzeEvidence } from "./analyze_evidence.ts";
import type { Finding } from "./messages.ts";
import { ruleOutAt } from "./plan_step.ts";
import type {
  AnalysisResult,
  Fault,
  Leadership,
  TickedEvent,
  Track,
} from "./state.ts";

const fleetFaultyAbove = Math.log(1e4);
/** Enough while a node or domain holds by evidence of its own. */
const secondedFaultyAbove = Math.log(1e2);
const domainFaultyAbove = Math.log(1e5);

const fleetScope = "the fleet";

/** Returns the fleet's judgement, and the first fault of any scope. */
export function analyzeScopes(
  track: Track,
  event: TickedEvent,
  lead: Leadership,
): { fleet: AnalysisResult; fault: Fault | undefined } {
  const ruleOut = ruleOutAt(track.rollout.perMille);
  const analyze = (
    scope: string,
    evidence: Leadership["inbox"]["total"],
    faultyAbove: number,
  ) => {
    let found = lead.judges.get(scope);
    if (found === undefined) {
      found = createAnalysisState(event.now);
      lead.judges.set(scope, found);
    }
    const { now } = event;
    return analyzeEvidence({
      state: found,
      evidence,
      faultyAbove,
      ruleOut,
      now,
    });
  };
  const fleetAbove = hasOpenHold(lead) ? secondedFaultyAbove : fleetFaultyAbove;
  const fleet = analyze(fleetScope, lead.inbox.total, fleetAbove);
  let fault: Fault | undefined = fleet.type === "faulty"
    ? { finding: fleet.finding, scope: fleetScope, evidence: lead.inbox.total }
    : undefined;
  for (const [domain, evidence] of lead.inbox.byDomain) {
    const analysis = analyze(scopeOf(domain), evidence, domainFaultyAbove);
    if (analysis.type !== "faulty") continue;
    fault ??= faultOfDomain(lead, domain, analysis.finding);
  }
  return { fleet, fault };
}

/** A fault that the evidence of one failure domain shows. */
export function faultOfDomain(
  lead: Leadership,
  domain: string,
  finding: Finding,
): Fault {
  const evidence = lead.inbox.byDomain.get(domain) ?? lead.inbox.total;
  return { finding, scope: scopeOf(domain), evidence };
}

function scopeOf(domain: string): string {
  return `failure domain ${domain}`;
}
