/**
 * Leads a rollout as its lease holder: analyzes the fleet's evidence and
 * appends the steps to the log.
 * @module
 */
import { RecordKind, type RolloutStep } from "../config_log/messages.ts";
import { RolloutPhase } from "../config_log/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import { exhausted } from "../core/exhausted.ts";
import { lastStepOffset } from "./claim_lease.ts";
import { describeFinding } from "./describe_finding.ts";
import { resetClearance, resetScores } from "./analyze_evidence.ts";
import { confirmFault, FaultOrigin, raiseAlert } from "./confirm_fault.ts";
import { hasOpenHold } from "./has_open_hold.ts";
import { holdEverywhere } from "./hold_everywhere.ts";
import { analyzeScopes, createDomainFault } from "./analyze_scopes.ts";
import { maintainRemoteHolds } from "./maintain_remote_holds.ts";
import { recordHistory } from "./record_history.ts";
import { planStep } from "./plan_step.ts";
import { findReportingReaders } from "./find_reporting_readers.ts";
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
  type TrackedRollout,
} from "./state.ts";

/** Interval between two ticks above which this process counts as paused. */
const PAUSE_MS = 3_000;
/**
 * Time in which readers send their earlier evidence to a new lease holder. What
 * arrives in that time does not count towards clearing the current share.
 */
const EVIDENCE_REBUILD_MS = 2_000;
/** Interval between two heartbeats. */
const HEARTBEAT_INTERVAL_MS = 1_000;
/** Time without upstreams after which a rollout is reported as blocked. */
const BLOCK_AFTER_ABSENT_MS = 5_000;

/** Analyzes the evidence and appends the step that is due. */
export function leadRollout(
  state: RolloutState,
  tracked: TrackedRollout,
  event: TickedEvent,
  lead: Leadership,
): readonly RolloutEffect[] {
  detectPause(lead, event);
  detectNewStage(tracked, lead, event);
  const { fleet, fault } = analyzeScopes(tracked, event, lead);
  recordHistory(tracked, lead, event);
  const isRebuilding = event.now - lead.since < EVIDENCE_REBUILD_MS;
  if (isRebuilding) resetAllClearances(lead);
  const effects: RolloutEffect[] = [
    ...sendHeartbeats(state, tracked, lead, event),
  ];
  const found = fault ?? findOwnFault(state, tracked, lead);
  if (found !== undefined) lead.alert ??= raiseAlert(found, event.now);
  if (lead.alert !== undefined) {
    const { alert } = lead;
    const { now } = event;
    const isStillShown = found !== undefined;
    const faultOrigin = confirmFault({ alert, isStillShown, now });
    const opts = { state, tracked, lead, alert, faultOrigin, now };
    return [...effects, ...handleAlert(opts)];
  }
  effects.push(...maintainRemoteHolds(state, tracked, lead, event.now));
  const step = nextStep(tracked, event, lead, fleet);
  return step === undefined
    ? effects
    : [...effects, ...appendStep(tracked, lead, step)];
}

/** After a pause of the process, treats this lease holder like a new holder. */
function detectPause(lead: Leadership, event: TickedEvent) {
  const isPaused = event.now - lead.tickedAt > PAUSE_MS;
  lead.tickedAt = event.now;
  if (!isPaused) return;
  lead.since = event.now;
  lead.stageStartedAt = event.now;
  resetAllClearances(lead);
}

/**
 * Discards earlier evidence for clearing a share, and keeps the fault scores.
 */
function resetAllClearances(lead: Leadership) {
  for (const analysis of lead.analyses.values()) resetClearance(analysis);
}

function detectNewStage(
  tracked: TrackedRollout,
  lead: Leadership,
  event: TickedEvent,
) {
  const stepOffset = lastStepOffset(tracked.rollout.steps);
  if (stepOffset === lead.offset) return;
  lead.offset = stepOffset;
  lead.stageStartedAt = event.now;
  delete lead.sentAfter;
  resetAllClearances(lead);
}

/** Returns the fault that this node found as a reader of its failure domain. */
function findOwnFault(
  state: RolloutState,
  tracked: TrackedRollout,
  lead: Leadership,
): Fault | undefined {
  const { hold } = tracked;
  if (hold?.phase !== HoldPhase.Full || hold.finding === undefined) {
    return undefined;
  }
  return createDomainFault(lead, state.domain, hold.finding);
}

interface HandleAlertOptions {
  readonly state: RolloutState;
  readonly tracked: TrackedRollout;
  readonly lead: Leadership;
  readonly alert: Alert;
  readonly faultOrigin: FaultOrigin;
  readonly now: MonotonicMs;
}

/**
 * Holds the version in all domains immediately, and appends the rollback once
 * the old version's calls confirm the fault. A late good call does not end the
 * alert.
 */
function handleAlert(opts: HandleAlertOptions): readonly RolloutEffect[] {
  const { state, tracked, lead, alert, faultOrigin, now } = opts;
  const reason = describeFinding(alert.fault.finding, alert.fault.scope);
  const effects = holdEverywhere({ state, tracked, lead, reason, now });
  if (lead.isRollbackSent) return effects;
  switch (faultOrigin) {
    case FaultOrigin.NewVersion:
      lead.isRollbackSent = true;
      return [
        ...effects,
        ...appendStep(tracked, lead, { type: "rollback", reason }),
      ];
    case FaultOrigin.Undecided:
      return effects;
    case FaultOrigin.Shared:
      for (const analysis of lead.analyses.values()) resetScores(analysis);
      return [...effects, ...endAlert(state, tracked, lead, now)];
    default:
      return exhausted(faultOrigin);
  }
}

/**
 * Ends the alert and all holds when the new version is not the fault's origin.
 */
function endAlert(
  state: RolloutState,
  tracked: TrackedRollout,
  lead: Leadership,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  delete lead.alert;
  lead.holds.clear();
  return releaseEverywhere({ state, tracked, lead, now, isProbed: false });
}

/**
 * Sends a heartbeat to the readers of this domain, and to all others that sent
 * evidence or a hold.
 */
function sendHeartbeats(
  state: RolloutState,
  tracked: TrackedRollout,
  lead: Leadership,
  event: TickedEvent,
): readonly RolloutEffect[] {
  if (event.now - lead.heartbeatSentAt < HEARTBEAT_INTERVAL_MS) return [];
  lead.heartbeatSentAt = event.now;
  const rollout = tracked.rollout.id;
  const message = {
    type: "rollout/leading",
    rollout,
    term: lead.term,
  } as const;
  const ownReaders = event.readers.map((reader) => reader.id);
  return [...new Set([...ownReaders, ...findReportingReaders(state, lead)])]
    .filter((id) => id !== state.self)
    .map((to) => ({ type: "send", to, message }));
}

function nextStep(
  tracked: TrackedRollout,
  event: TickedEvent,
  lead: Leadership,
  fleet: AnalysisResult,
): RolloutStep | undefined {
  if (lead.sentAfter === lead.offset || lead.isRollbackSent) return undefined;
  const { rollout } = tracked;
  const key = keyOfVersion(rollout.service, rollout.version);
  if (!event.present.has(key)) {
    return blockAbsent(tracked, event, lead);
  }
  delete lead.absentSince;
  const isHeld = tracked.hold !== undefined ||
    hasOpenHold(lead);
  if (isHeld || fleet.type === "faulty") return undefined;
  const stageMs = event.now - Math.max(lead.stageStartedAt, lead.since);
  return planStep({ rollout, analysis: fleet, stageMs, wall: event.wall });
}

function blockAbsent(
  tracked: TrackedRollout,
  event: TickedEvent,
  lead: Leadership,
): RolloutStep | undefined {
  const { rollout } = tracked;
  lead.absentSince ??= event.now;
  // Time without upstreams does not count as time in the stage.
  lead.stageStartedAt = event.now;
  const isDue = event.now - lead.absentSince >= BLOCK_AFTER_ABSENT_MS;
  if (!isDue || rollout.phase === RolloutPhase.Blocked) return undefined;
  const reason = rollout.perMille === 0
    ? `No upstream of ${rollout.version} has announced itself.`
    : `Every upstream of ${rollout.version} left; the old version serves ` +
      "until they return.";
  return { type: "block", reason };
}

function appendStep(
  tracked: TrackedRollout,
  lead: Leadership,
  step: RolloutStep,
): readonly RolloutEffect[] {
  lead.sentAfter = lead.offset;
  const rollout = tracked.rollout.id;
  const kind = RecordKind.RolloutStep;
  const record = { kind, rollout, term: lead.term, step } as const;
  return [{ type: "append", rollout, record }];
}
