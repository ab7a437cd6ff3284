/**
 * Begins, probes and ends the local hold on a version.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { resetScores } from "./analyze_evidence.ts";
import type { Finding } from "./messages.ts";
import {
  HoldPhase,
  type RolloutEffect,
  type RolloutState,
  type TrackedRollout,
} from "./state.ts";

/**
 * After a release with probing, calls go to the version for the first
 * `PROBE_OPEN_MS` of each `PROBE_PERIOD_MS`. The hold ends after
 * `PROBING_DURATION_MS`.
 */
const PROBE_PERIOD_MS = 2_000;
const PROBE_OPEN_MS = 250;
const PROBING_DURATION_MS = 8_000;

/** Options of `beginHold`. */
export interface BeginHoldOptions {
  readonly state: RolloutState;
  readonly tracked: TrackedRollout;
  readonly origin: NodeId;
  readonly reason: string;
  /** Fault in the evidence of this node's domain. */
  readonly finding?: Finding;
  readonly now: MonotonicMs;
}

/** Stops calls to the version. No effect while a full hold is in force. */
export function beginHold(opts: BeginHoldOptions): readonly RolloutEffect[] {
  const { state, tracked, origin, reason, finding, now } = opts;
  if (tracked.hold?.phase === HoldPhase.Full) return [];
  tracked.hold = {
    phase: HoldPhase.Full,
    origin,
    reason,
    ...(finding === undefined ? {} : { finding }),
    since: now,
    announcedAt: -Infinity,
  };
  state.held.add(versionKey(tracked));
  return [
    createHoldChanged(
      tracked,
      `Calls to ${versionKey(tracked)} stop: ${reason}`,
    ),
  ];
}

/**
 * Ends a full hold by order of the lease holder, after probing if `isProbed`.
 */
export function releaseHold(
  state: RolloutState,
  tracked: TrackedRollout,
  now: MonotonicMs,
  isProbed: boolean,
): readonly RolloutEffect[] {
  if (tracked.hold?.phase !== HoldPhase.Full) return [];
  resetScores(tracked.localAnalysis);
  resetScores(tracked.domainAnalysis);
  if (!isProbed) return endHold(state, tracked);
  tracked.hold.phase = HoldPhase.Probing;
  tracked.hold.since = now;
  updateProbing(state, tracked, now);
  return [
    createHoldChanged(
      tracked,
      `Calls to ${versionKey(tracked)} are probed again.`,
    ),
  ];
}

/**
 * Lets calls through or stops them while a hold is probed, and ends the hold.
 */
export function updateProbing(
  state: RolloutState,
  tracked: TrackedRollout,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  const { hold } = tracked;
  if (hold?.phase !== HoldPhase.Probing) return [];
  const elapsedMs = now - hold.since;
  if (elapsedMs >= PROBING_DURATION_MS) return endHold(state, tracked);
  const isOpen = elapsedMs % PROBE_PERIOD_MS < PROBE_OPEN_MS;
  if (isOpen) state.held.delete(versionKey(tracked));
  else state.held.add(versionKey(tracked));
  return [];
}

/** Ends the hold on a version, after probing or at the end of its rollout. */
export function endHold(
  state: RolloutState,
  tracked: TrackedRollout,
): readonly RolloutEffect[] {
  if (tracked.hold === undefined) return [];
  delete tracked.hold;
  state.held.delete(versionKey(tracked));
  return [
    createHoldChanged(tracked, `The hold on ${versionKey(tracked)} ended.`),
  ];
}

function versionKey(tracked: TrackedRollout): string {
  return keyOfVersion(tracked.rollout.service, tracked.rollout.version);
}

function createHoldChanged(
  tracked: TrackedRollout,
  sentence: string,
): RolloutEffect {
  return { type: "hold-changed", rollout: tracked.rollout.id, sentence };
}
