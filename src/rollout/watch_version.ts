/**
 * Analyzes a version at each node, and at readers also for the failure domain,
 * and holds it immediately when its calls show a fault.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { describeFinding } from "./describe_finding.ts";
import { analyzeEvidence } from "./analyze_evidence.ts";
import { beginHold, updateProbing } from "./local_hold.ts";
import { ruleOutAt } from "./plan_step.ts";
import {
  HoldPhase,
  type RolloutEffect,
  type RolloutState,
  type TickedEvent,
  type TrackedRollout,
} from "./state.ts";

/**
 * Log-likelihood ratio above which a node holds on its calls alone. It is high
 * because each of thousands of nodes runs the test.
 */
const NODE_FAULTY_ABOVE = Math.log(1e6);
/** Log-likelihood ratio above which a domain's evidence shows a fault. */
const DOMAIN_FAULTY_ABOVE = Math.log(1e5);

/** Interval at which a hold is announced again, in case a message was lost. */
const HOLD_REPEAT_INTERVAL_MS = 1_000;

/** Analyzes the calls of this node and of its domain. */
export function watchVersion(
  state: RolloutState,
  tracked: TrackedRollout,
  event: TickedEvent,
  holder: NodeId | undefined,
): readonly RolloutEffect[] {
  const effects = [...updateProbing(state, tracked, event.now)];
  const ruleOut = ruleOutAt(tracked.rollout.perMille);
  const { now } = event;
  const scopes = [
    {
      state: tracked.localAnalysis,
      evidence: tracked.local,
      faultyAbove: NODE_FAULTY_ABOVE,
      name: `the calls of node ${state.self}`,
      isDomain: false,
    },
    {
      state: tracked.domainAnalysis,
      evidence: tracked.domain.total,
      faultyAbove: DOMAIN_FAULTY_ABOVE,
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
    effects.push(
      ...beginHold({ state, tracked, origin, reason, now, ...shown }),
    );
  }
  return [...effects, ...announceHold(state, tracked, event, holder)];
}

/** A node informs its readers; a reader informs its domain and the holder. */
function announceHold(
  state: RolloutState,
  tracked: TrackedRollout,
  event: TickedEvent,
  holder: NodeId | undefined,
): readonly RolloutEffect[] {
  const { hold } = tracked;
  const isDue = hold?.phase === HoldPhase.Full &&
    event.now - hold.announcedAt >= HOLD_REPEAT_INTERVAL_MS;
  if (hold === undefined || !isDue) return [];
  hold.announcedAt = event.now;
  const message = {
    type: "rollout/hold",
    rollout: tracked.rollout.id,
    origin: hold.origin,
    reason: hold.reason,
  } as const;
  const held = {
    type: "rollout/held",
    rollout: tracked.rollout.id,
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
  // Except for readers, only the origin of a hold repeats it. Otherwise nodes
  // would send the hold back and forth.
  if (hold.origin !== state.self) return [];
  return event.readers.map(({ id }) => ({ type: "send", to: id, message }));
}
