/**
 * The holder's part: judges the fleet's evidence and takes the steps.
 * @module
 */
import { RecordKind, type RolloutStep } from "../config_log/messages.ts";
import { RolloutPhase } from "../config_log/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import { exhausted } from "../core/exhausted.ts";
import { stepMark } from "./claim_lease.ts";
import { describeFinding } from "./describe_finding.ts";
import { resetClearance, resetScores } from "./analyze_evidence.ts";
import { confirmFault, FaultOrigin, raiseAlert } from "./confirm_fault.ts";
import { hasOpenHold } from "./has_open_hold.ts";
import { holdEverywhere } from "./hold_everywhere.ts";
import { analyzeScopes, faultOfDomain } from "./analyze_scopes.ts";
import { maintainRemoteHolds } from "./maintain_remote_holds.ts";
import { recordHistory } from "./record_history.ts";
import { planStep } from "./plan_step.ts";
import { readersOf } from "./readers_of.ts";
import { releaseEverywhere } from "./release_everywhere.ts";
import {
  type Alert,
  type AnalysisResult,
  type Fault,
  HoldPhase,
  type Leadership,
  type RolloutEffect,
  type RolloutState,
  type TickedEvent,
  type Track,
} from "./state.ts";

/** Own gap between two ticks that shows that this process was paused. */
const pauseMs = 3_000;
/** Time in which readers tell a new holder what they know. */
const rebuildMs = 2_000;
/** Gap between two signs of life. */
const signMs = 1_000;
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
  const { fleet, fault } = analyzeScopes(track, event, lead);
  recordHistory(track, lead, event);
  const isRebuilding = event.now - lead.since < rebuildMs;
  if (isRebuilding) restart(lead);
  const effects: RolloutEffect[] = [...giveSign(state, track, lead, event)];
  const seen = fault ?? findOwnFault(state, track, lead);
  if (seen !== undefined) lead.alarm ??= raiseAlert(seen, event.now);
  if (lead.alarm !== undefined) {
    const { alarm } = lead;
    const { now } = event;
    const isStanding = seen !== undefined;
    const blame = confirmFault({ alarm, isStanding, now });
    const opts = { state, track, lead, alarm, blame, now };
    return [...effects, ...answerAlarm(opts)];
  }
  effects.push(...maintainRemoteHolds(state, track, lead, event.now));
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

/** A fault that this node saw as a reader of its failure domain. */
function findOwnFault(
  state: RolloutState,
  track: Track,
  lead: Leadership,
): Fault | undefined {
  const { hold } = track;
  if (hold?.phase !== HoldPhase.Full || hold.finding === undefined) {
    return undefined;
  }
  return faultOfDomain(lead, state.domain, hold.finding);
}

interface AnswerAlarmOptions {
  readonly state: RolloutState;
  readonly track: Track;
  readonly lead: Leadership;
  readonly alarm: Alert;
  readonly blame: FaultOrigin;
  readonly now: MonotonicMs;
}

/**
 * Holds everywhere at once, and records the rollback once the old version's
 * calls confirm it. A late good call does not end the alarm by itself.
 */
function answerAlarm(opts: AnswerAlarmOptions): readonly RolloutEffect[] {
  const { state, track, lead, alarm, blame, now } = opts;
  const reason = describeFinding(alarm.fault.finding, alarm.fault.scope);
  const effects = holdEverywhere({ state, track, lead, reason, now });
  if (lead.isRollbackSent) return effects;
  switch (blame) {
    case FaultOrigin.NewVersion:
      lead.isRollbackSent = true;
      return [
        ...effects,
        ...appendStep(track, lead, { type: "rollback", reason }),
      ];
    case FaultOrigin.Undecided:
      return effects;
    case FaultOrigin.Shared:
      for (const judge of lead.judges.values()) resetScores(judge);
      return [...effects, ...endAlarm(state, track, lead, now)];
    default:
      return exhausted(blame);
  }
}

/** Ends the holds once the evidence no longer blames the new version. */
function endAlarm(
  state: RolloutState,
  track: Track,
  lead: Leadership,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  delete lead.alarm;
  lead.holds.clear();
  return releaseEverywhere({ state, track, lead, now, isProbed: false });
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
  fleet: AnalysisResult,
): RolloutStep | undefined {
  if (lead.sentSteps === lead.steps || lead.isRollbackSent) return undefined;
  const { rollout } = track;
  const key = keyOfVersion(rollout.service, rollout.version);
  if (!event.present.has(key)) {
    return blockAbsent(track, event, lead);
  }
  delete lead.absentSince;
  const isHeld = track.hold !== undefined ||
    hasOpenHold(lead);
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
