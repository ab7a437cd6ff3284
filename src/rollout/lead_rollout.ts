/**
 * The holder's part: judges the fleet's evidence and takes the steps.
 * @module
 */
import { RecordKind, type RolloutStep } from "../config_log/messages.ts";
import { RolloutPhase } from "../config_log/state.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import { exhausted } from "../core/exhausted.ts";
import { stepMark } from "./claim_lease.ts";
import { describeFinding } from "./describe_finding.ts";
import { acquit, judgeEvidence, resetClearance } from "./judge_evidence.ts";
import { beginHold, releaseHold } from "./keep_hold.ts";
import { Blame, confirmFault } from "./confirm_fault.ts";
import { createJudge } from "./create_track.ts";
import { noteHistory } from "./note_history.ts";
import { planStep, ruleOutAt } from "./plan_step.ts";
import { releaseHolds } from "./release_holds.ts";
import type {
  Fault,
  Judgement,
  Leadership,
  RolloutEffect,
  RolloutState,
  TickedEvent,
  Track,
} from "./state.ts";

const fleetFaultyAbove = Math.log(1e4);
const domainFaultyAbove = Math.log(1e5);

const fleetScope = "the fleet";

/** Own gap between two ticks that shows that this process was paused. */
const pauseMs = 3_000;
/** Time in which readers tell a new holder what they know. */
const rebuildMs = 2_000;
/** Gap between two signs of life. */
const signMs = 1_000;
/** Gap between two orders to hold. */
const holdGapMs = 1_000;
/** Time without upstreams after which a rollout is reported as blocked. */
const absentMs = 5_000;

/** Judges and takes the step that is due. */
export function leadRollout(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  lead: Leadership,
): readonly RolloutEffect[] {
  notePause(lead, event);
  noteStage(track, lead, event);
  const { fleet, fault } = judgeScopes(track, event, lead);
  noteHistory(track, lead, event);
  const isRebuilding = event.now - lead.since < rebuildMs;
  if (isRebuilding) restart(lead);
  const effects: RolloutEffect[] = [...giveSign(state, track, lead, event)];
  if (fault !== undefined) {
    return [...effects, ...answerFault(state, track, event, lead, fault)];
  }
  if (lead.alarm !== undefined) {
    effects.push(...releaseEverywhere(state, track, lead, event.now));
  }
  effects.push(...releaseHolds(state, track, lead, event.now));
  const step = nextStep(track, event, lead, fleet);
  return step === undefined
    ? effects
    : [...effects, ...appendStep(track, lead, step)];
}

/** A paused holder starts over as if it were new. */
function notePause(lead: Leadership, event: TickedEvent) {
  const isPaused = event.now - lead.tickedAt > pauseMs;
  lead.tickedAt = event.now;
  if (!isPaused) return;
  lead.since = event.now;
  lead.stageAt = event.now;
  restart(lead);
}

/** What was seen before does not clear the present share. */
function restart(lead: Leadership) {
  for (const judge of lead.judges.values()) resetClearance(judge);
}

function noteStage(track: Track, lead: Leadership, event: TickedEvent) {
  const steps = stepMark(track.rollout.steps);
  if (steps === lead.steps) return;
  lead.steps = steps;
  lead.stageAt = event.now;
  delete lead.sentSteps;
  restart(lead);
}

function judgeScopes(
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
  const fleet = judge(fleetScope, lead.inbox.total, fleetFaultyAbove);
  let fault: Fault | undefined = fleet.type === "faulty"
    ? { finding: fleet.finding, scope: fleetScope, evidence: lead.inbox.total }
    : undefined;
  for (const [domain, evidence] of lead.inbox.byDomain) {
    const scope = `failure domain ${domain}`;
    const judgement = judge(scope, evidence, domainFaultyAbove);
    if (judgement.type !== "faulty") continue;
    fault ??= { finding: judgement.finding, scope, evidence };
  }
  return { fleet, fault };
}

/** Holds everywhere at once, and records the rollback. */
function answerFault(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  lead: Leadership,
  fault: Fault,
): readonly RolloutEffect[] {
  const { now } = event;
  const reason = describeFinding(fault.finding, fault.scope);
  const effects = [
    ...beginHold({ state, track, origin: state.self, reason, now }),
    ...holdEverywhere(state, track, lead, reason, now),
  ];
  if (lead.isRollbackSent) return effects;
  const blame = confirmFault({ lead, fault, now });
  switch (blame) {
    case Blame.NewVersion:
      lead.isRollbackSent = true;
      return [
        ...effects,
        ...appendStep(track, lead, { type: "rollback", reason }),
      ];
    case Blame.Undecided:
      return effects;
    case Blame.Shared:
      for (const judge of lead.judges.values()) acquit(judge);
      return [...effects, ...releaseEverywhere(state, track, lead, now)];
    default:
      return exhausted(blame);
  }
}

/** Tells all readers to hold, again and again while the fault is on. */
function holdEverywhere(
  state: RolloutState,
  track: Track,
  lead: Leadership,
  reason: string,
  now: number,
): readonly RolloutEffect[] {
  if (now - lead.heldAt < holdGapMs) return [];
  lead.heldAt = now;
  const rollout = track.rollout.id;
  const origin = state.self;
  const message = { type: "rollout/hold", rollout, origin, reason } as const;
  const sends = readersOf(state, lead).map((to) => ({
    type: "send",
    to,
    message,
  } as const));
  return [{ type: "tell-domain", message }, ...sends];
}

/** Ends the holds once the evidence no longer blames the new version. */
function releaseEverywhere(
  state: RolloutState,
  track: Track,
  lead: Leadership,
  now: number,
): readonly RolloutEffect[] {
  delete lead.alarm;
  lead.holds.clear();
  const rollout = track.rollout.id;
  const message = {
    type: "rollout/release",
    rollout,
    isProbed: false,
  } as const;
  const sends = readersOf(state, lead).map((to) => ({
    type: "send",
    to,
    message,
  } as const));
  return [
    ...releaseHold(state, track, now, false),
    { type: "tell-domain", message },
    ...sends,
  ];
}

/** Readers of other domains that report to this holder. */
export function readersOf(state: RolloutState, lead: Leadership): string[] {
  const ids = [...lead.inbox.sources.keys()].map((source) =>
    source.split("/")[0] ?? ""
  );
  return [...new Set(ids)].filter((id) => id !== state.self);
}

/** Tells every reader that hears of this rollout that its holder lives. */
function giveSign(
  state: RolloutState,
  track: Track,
  lead: Leadership,
  event: TickedEvent,
): readonly RolloutEffect[] {
  if (event.now - lead.signedAt < signMs) return [];
  lead.signedAt = event.now;
  const rollout = track.rollout.id;
  const message = {
    type: "rollout/leading",
    rollout,
    term: lead.term,
  } as const;
  const own = event.readers.map((reader) => reader.id);
  return [...new Set([...own, ...readersOf(state, lead)])]
    .filter((id) => id !== state.self)
    .map((to) => ({ type: "send", to, message }));
}

function nextStep(
  track: Track,
  event: TickedEvent,
  lead: Leadership,
  fleet: Judgement,
): RolloutStep | undefined {
  if (lead.sentSteps === lead.steps || lead.isRollbackSent) return undefined;
  const { rollout } = track;
  const key = keyOfVersion(rollout.service, rollout.version);
  if (!event.present.has(key)) {
    return blockAbsent(track, event, lead);
  }
  delete lead.absentSince;
  const isHeld = track.hold !== undefined ||
    [...lead.holds.values()].some((hold) => hold.isOpen);
  if (isHeld || fleet.type === "faulty") return undefined;
  const stageMs = event.now - Math.max(lead.stageAt, lead.since);
  return planStep({ rollout, judgement: fleet, stageMs, wall: event.wall });
}

function blockAbsent(
  track: Track,
  event: TickedEvent,
  lead: Leadership,
): RolloutStep | undefined {
  const { rollout } = track;
  lead.absentSince ??= event.now;
  // Time without upstreams does not count as time watched.
  lead.stageAt = event.now;
  const isDue = event.now - lead.absentSince >= absentMs;
  if (!isDue || rollout.phase === RolloutPhase.Blocked) return undefined;
  const reason = rollout.perMille === 0
    ? `No upstream of ${rollout.version} has announced itself.`
    : `Every upstream of ${rollout.version} left; the old version serves ` +
      "until they return.";
  return { type: "block", reason };
}

function appendStep(
  track: Track,
  lead: Leadership,
  step: RolloutStep,
): readonly RolloutEffect[] {
  lead.sentSteps = lead.steps;
  const rollout = track.rollout.id;
  const kind = RecordKind.RolloutStep;
  const record = { kind, rollout, term: lead.term, step } as const;
  return [{ type: "append", rollout, record }];
}
