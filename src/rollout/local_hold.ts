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
  type Track,
} from "./state.ts";

/**
 * After a release that is probed, calls go to the version for the first
 * `PROBE_OPEN_MS` of each `PROBE_PERIOD_MS`. The hold ends after
 * `PROBING_DURATION_MS`.
 */
const PROBE_PERIOD_MS = 2_000;
const PROBE_OPEN_MS = 250;
const PROBING_DURATION_MS = 8_000;

/** Options of `beginHold`. */
export interface BeginHoldOptions {
  readonly state: RolloutState;
  readonly track: Track;
  readonly origin: NodeId;
  readonly reason: string;
  /** Fault in the evidence of this node's domain. */
  readonly finding?: Finding;
  readonly now: MonotonicMs;
}

/** Stops calls to the version at once. No effect while a full hold is in force. */
export function beginHold(opts: BeginHoldOptions): readonly RolloutEffect[] {
  const { state, track, origin, reason, finding, now } = opts;
  if (track.hold?.phase === HoldPhase.Full) return [];
  track.hold = {
    phase: HoldPhase.Full,
    origin,
    reason,
    ...(finding === undefined ? {} : { finding }),
    since: now,
    announcedAt: -Infinity,
  };
  state.held.add(versionKey(track));
  return [
    createHoldChanged(track, `Calls to ${versionKey(track)} stop: ${reason}`),
  ];
}

/** Ends a full hold by order of the lease holder, with probing or at once. */
export function releaseHold(
  state: RolloutState,
  track: Track,
  now: MonotonicMs,
  isProbed: boolean,
): readonly RolloutEffect[] {
  if (track.hold?.phase !== HoldPhase.Full) return [];
  resetScores(track.localAnalysis);
  resetScores(track.domainAnalysis);
  if (!isProbed) return endHold(state, track);
  track.hold.phase = HoldPhase.Probing;
  track.hold.since = now;
  updateProbing(state, track, now);
  return [
    createHoldChanged(track, `Calls to ${versionKey(track)} are probed again.`),
  ];
}

/** Lets calls through or stops them while a hold is probed, and ends the hold. */
export function updateProbing(
  state: RolloutState,
  track: Track,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  const { hold } = track;
  if (hold?.phase !== HoldPhase.Probing) return [];
  const elapsedMs = now - hold.since;
  if (elapsedMs >= PROBING_DURATION_MS) return endHold(state, track);
  const isOpen = elapsedMs % PROBE_PERIOD_MS < PROBE_OPEN_MS;
  if (isOpen) state.held.delete(versionKey(track));
  else state.held.add(versionKey(track));
  return [];
}

/** Ends the hold on a version, after probing or at the end of its rollout. */
export function endHold(
  state: RolloutState,
  track: Track,
): readonly RolloutEffect[] {
  if (track.hold === undefined) return [];
  delete track.hold;
  state.held.delete(versionKey(track));
  return [createHoldChanged(track, `The hold on ${versionKey(track)} ended.`)];
}

function versionKey(track: Track): string {
  return keyOfVersion(track.rollout.service, track.rollout.version);
}

function createHoldChanged(track: Track, sentence: string): RolloutEffect {
  return { type: "hold-changed", rollout: track.rollout.id, sentence };
}
