/**
 * Judges the fleet and each of its failure domains.
 * @module
 */
import { createJudge } from "./create_track.ts";
import { hasOpenHold } from "./has_open_hold.ts";
import { judgeEvidence } from "./judge_evidence.ts";
import type { Finding } from "./messages.ts";
import { ruleOutAt } from "./plan_step.ts";
import type {
  Fault,
  Judgement,
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
export function judgeScopes(
  track: Track,
  event: TickedEvent,
  lead: Leadership,
): { fleet: Judgement; fault: Fault | undefined } {
  const ruleOut = ruleOutAt(track.rollout.perMille);
  const judge = (
    scope: string,
    evidence: Leadership["inbox"]["total"],
    faultyAbove: number,
  ) => {
    let found = lead.judges.get(scope);
    if (found === undefined) {
      found = createJudge(event.now);
      lead.judges.set(scope, found);
    }
    const { now } = event;
    return judgeEvidence({ judge: found, evidence, faultyAbove, ruleOut, now });
  };
  const fleetAbove = hasOpenHold(lead) ? secondedFaultyAbove : fleetFaultyAbove;
  const fleet = judge(fleetScope, lead.inbox.total, fleetAbove);
  let fault: Fault | undefined = fleet.type === "faulty"
    ? { finding: fleet.finding, scope: fleetScope, evidence: lead.inbox.total }
    : undefined;
  for (const [domain, evidence] of lead.inbox.byDomain) {
    const judgement = judge(scopeOf(domain), evidence, domainFaultyAbove);
    if (judgement.type !== "faulty") continue;
    fault ??= faultOfDomain(lead, domain, judgement.finding);
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
