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

/** After a release, calls pass during this part of each period. */
const probePeriodMs = 2_000;
const probeOpenMs = 250;
const probingMs = 8_000;

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

/** Stops calls to the version at once. Nothing happens on a hold in force. */
export function beginHold(opts: BeginHoldOptions): readonly RolloutEffect[] {
  const { state, track, origin, reason, finding, now } = opts;
  if (track.hold?.phase === HoldPhase.Full) return [];
  track.hold = {
    phase: HoldPhase.Full,
    origin,
    reason,
    ...(finding === undefined ? {} : { finding }),
    since: now,
    toldAt: -Infinity,
  };
  state.held.add(keyOf(track));
  return [changed(track, `Calls to ${keyOf(track)} stop: ${reason}`)];
}

/** Ends a hold at the holder's word, by way of probes or at once. */
export function releaseHold(
  state: RolloutState,
  track: Track,
  now: MonotonicMs,
  isProbed: boolean,
): readonly RolloutEffect[] {
  if (track.hold?.phase !== HoldPhase.Full) return [];
  resetScores(track.localJudge);
  resetScores(track.domainJudge);
  if (!isProbed) return endHold(state, track);
  track.hold.phase = HoldPhase.Probing;
  track.hold.since = now;
  passProbes(state, track, now);
  return [changed(track, `Calls to ${keyOf(track)} are probed again.`)];
}

/** Opens and closes the probing of a released hold, and ends it. */
export function passProbes(
  state: RolloutState,
  track: Track,
  now: MonotonicMs,
): readonly RolloutEffect[] {
  const { hold } = track;
  if (hold?.phase !== HoldPhase.Probing) return [];
  const probedMs = now - hold.since;
  if (probedMs >= probingMs) return endHold(state, track);
  const isOpen = probedMs % probePeriodMs < probeOpenMs;
  if (isOpen) state.held.delete(keyOf(track));
  else state.held.add(keyOf(track));
  return [];
}

/** Ends the hold on a version whose rollout ended or whose probes went well. */
export function endHold(
  state: RolloutState,
  track: Track,
): readonly RolloutEffect[] {
  if (track.hold === undefined) return [];
  delete track.hold;
  state.held.delete(keyOf(track));
  return [changed(track, `The hold on ${keyOf(track)} ended.`)];
}

function keyOf(track: Track): string {
  return keyOfVersion(track.rollout.service, track.rollout.version);
}

function changed(track: Track, sentence: string): RolloutEffect {
  return { type: "hold-changed", rollout: track.rollout.id, sentence };
}
