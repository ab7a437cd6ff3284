/**
 * Canary analysis of the fleet and of each failure domain, at the lease holder.
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
  TrackedRollout,
} from "./state.ts";

/** Log-likelihood ratio above which the fleet's evidence shows a fault. */
const FLEET_FAULTY_ABOVE = Math.log(1e4);
/**
 * Lower limit for the fleet while a node or domain already holds the version.
 */
const FLEET_FAULTY_ABOVE_WITH_HOLD = Math.log(1e2);
/** Log-likelihood ratio above which a domain's evidence shows a fault. */
const DOMAIN_FAULTY_ABOVE = Math.log(1e5);

const FLEET_SCOPE = "the fleet";

/** Returns the result for the fleet, and the first fault of any scope. */
export function analyzeScopes(
  tracked: TrackedRollout,
  event: TickedEvent,
  lead: Leadership,
): { fleet: AnalysisResult; fault: Fault | undefined } {
  const ruleOut = ruleOutAt(tracked.rollout.perMille);
  const analyze = (
    scope: string,
    evidence: Leadership["inbox"]["total"],
    faultyAbove: number,
  ) => {
    let found = lead.analyses.get(scope);
    if (found === undefined) {
      found = createAnalysisState(event.now);
      lead.analyses.set(scope, found);
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
  const fleetAbove = hasOpenHold(lead)
    ? FLEET_FAULTY_ABOVE_WITH_HOLD
    : FLEET_FAULTY_ABOVE;
  const fleet = analyze(FLEET_SCOPE, lead.inbox.total, fleetAbove);
  let fault: Fault | undefined = fleet.type === "faulty"
    ? { finding: fleet.finding, scope: FLEET_SCOPE, evidence: lead.inbox.total }
    : undefined;
  for (const [domain, evidence] of lead.inbox.byDomain) {
    const analysis = analyze(
      domainScope(domain),
      evidence,
      DOMAIN_FAULTY_ABOVE,
    );
    if (analysis.type !== "faulty") continue;
    fault ??= createDomainFault(lead, domain, analysis.finding);
  }
  return { fleet, fault };
}

/** Creates the fault that the evidence of one failure domain shows. */
export function createDomainFault(
  lead: Leadership,
  domain: string,
  finding: Finding,
): Fault {
  const evidence = lead.inbox.byDomain.get(domain) ?? lead.inbox.total;
  return { finding, scope: domainScope(domain), evidence };
}

function domainScope(domain: string): string {
  return `failure domain ${domain}`;
}
