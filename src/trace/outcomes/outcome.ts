/**
 * Outcomes that can be stated for a trace, and the result of checking one.
 * @module
 */
import type { TracedDecision } from "../traced_decision.ts";

/** Names of outcomes, as stored in `traces/*.outcomes.json`. */
export const OutcomeName = {
  VersionNeverFalls: "version-never-falls",
  AcceptedEditInForce: "accepted-edit-in-force",
  RefusedEditChangesNothing: "refused-edit-changes-nothing",
  RepeatChangesNothing: "repeat-changes-nothing",
  DigestAgrees: "digest-agrees",
  WithdrawnStaysBack: "withdrawn-stays-back",
  NoRouteToAbsentService: "no-route-to-absent-service",
  FirstShareSmall: "first-share-small",
  NoStepAfterLostLease: "no-step-after-lost-lease",
  RolloutDone: "rollout-done",
  RolloutTakenBack: "rollout-taken-back",
  AppendSettledOnce: "append-settled-once",
  LogFailureSeen: "log-failure-seen",
  AtMostOneRunPerKey: "at-most-one-run-per-key",
  NotRunNeverRuns: "not-run-never-runs",
  CrashesAtMostTwo: "crashes-at-most-two",
  DrainingGetsNoNewWork: "draining-gets-no-new-work",
  StartedCallsEnd: "started-calls-end",
  MembersKnownAgain: "members-known-again",
} as const;
export type OutcomeName = typeof OutcomeName[keyof typeof OutcomeName];

/**
 * Whether an outcome holds, as found after a decision, at the end of a
 * recording or at the end of the trace.
 */
export type Finding =
  | { readonly type: "held" }
  | { readonly type: "broken"; readonly reason: string };

/** A check returns undefined when the outcome does not apply. */
export interface OutcomeCheck {
  /** Called for every decision of the trace. */
  observe(decision: TracedDecision): Finding | undefined;
  /** Called at the end of each node's recording. */
  finishRecording?(): Finding | undefined;
  /** Called at the end of the trace. */
  finish?(): Finding | undefined;
}

export const held: Finding = { type: "held" };

/** Returns a finding that the outcome holds, or is violated for `reason`. */
export function findingOf(isHeld: boolean, reason: string): Finding {
  return isHeld ? held : { type: "broken", reason };
}
