/**
 * Watches a version at a node, and at a reader for its failure domain, and
 * holds it at once when its calls show a fault.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { describeFinding } from "./describe_finding.ts";
import { analyzeEvidence } from "./analyze_evidence.ts";
import { beginHold, passProbes } from "./keep_hold.ts";
import { ruleOutAt } from "./plan_step.ts";
import {
  HoldPhase,
  type RolloutEffect,
  type RolloutState,
  type TickedEvent,
  type Track,
} from "./state.ts";

/** Odds at which a node holds by itself. There are thousands of nodes. */
const nodeFaultyAbove = Math.log(1e6);
const domainFaultyAbove = Math.log(1e5);

/** Gap at which a hold is told again, in case it was lost. */
const retellMs = 1_000;

/** Judges what this node and its domain measured. */
export function watchVersion(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  holder: NodeId | undefined,
): readonly RolloutEffect[] {
  const effects = [...passProbes(state, track, event.now)];
  const ruleOut = ruleOutAt(track.rollout.perMille);
  const { now } = event;
  const scopes = [
    {
      state: track.localJudge,
      evidence: track.local,
      faultyAbove: nodeFaultyAbove,
      name: `the calls of node ${state.self}`,
      isDomain: false,
    },
    {
      state: track.domainJudge,
      evidence: track.domain.total,
      faultyAbove: domainFaultyAbove,
      name: `failure domain ${state.domain}`,
      isDomain: true,
    },
  ];
  for (const { name, isDomain, ...scope } of scopes) {
    const analysis = analyzeEvidence({ ...scope, ruleOut, now });
    if (analysis.type !== "faulty") continue;
    const { finding } = analysis;
    const reason = describeFinding(finding, name);
    const shown = isDomain ? { finding } : {};
    const origin = state.self;
    effects.push(...beginHold({ state, track, origin, reason, now, ...shown }));
  }
  return [...effects, ...tellHold(state, track, event, holder)];
}

/** A node tells its readers; a reader tells its domain and the holder. */
function tellHold(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  holder: NodeId | undefined,
): readonly RolloutEffect[] {
  const { hold } = track;
  const isDue = hold?.phase === HoldPhase.Full &&
    event.now - hold.toldAt >= retellMs;
  if (hold === undefined || !isDue) return [];
  hold.toldAt = event.now;
  const message = {
    type: "rollout/hold",
    rollout: track.rollout.id,
    origin: hold.origin,
    reason: hold.reason,
  } as const;
  const held = {
    type: "rollout/held",
    rollout: track.rollout.id,
    origin: hold.origin,
    ...(hold.finding === undefined
      ? {}
      : { shown: { domain: state.domain, finding: hold.finding } }),
  } as const;
  const isReader = event.readers.some((reader) => reader.id === state.self);
  if (isReader) {
    return [
      { type: "tell-domain", message },
      ...(holder === undefined || holder === state.self
        ? []
        : [{ type: "send", to: holder, message: held } as const]),
    ];
  }
  // Only who saw the fault repeats it, so that a hold does not echo.
  if (hold.origin !== state.self) return [];
  return event.readers.map(({ id }) => ({ type: "send", to: id, message }));
}
