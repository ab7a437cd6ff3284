/**
 * Gathers evidence on versions and leads rollouts under a fenced lease.
 * @module
 */
import { RecordKind, type RolloutStep } from "../config_log/messages.ts";
import { fullShare } from "../config_log/fold_rollout.ts";
import { isLive, leaseOf } from "../config_log/rollout_rows.ts";
import { type Rollout, RolloutPhase } from "../config_log/state.ts";
import { exhausted } from "../core/exhausted.ts";
import type { RouteCounts } from "./messages.ts";
import {
  CallOutcome,
  type RolloutEffect,
  type RolloutEvent,
  type RolloutState,
} from "./state.ts";

/** Shares in thousandths that a new version passes through. */
const shares = [20, 100, 300, fullShare] as const;

const stepMs = 2_000;
const bakeMs = 4_000;
const claimRetryMs = 3_000;

/** Calls of the new version needed before its failures count. */
const minCalls = 10;
const maxFailureShare = 0.05;

type Ticked = Extract<RolloutEvent, { type: "ticked" }>;

/** Takes one event of rollouts in turn. */
export function decideRollout(
  state: RolloutState,
  event: RolloutEvent,
): readonly RolloutEffect[] {
  switch (event.type) {
    case "answered":
      addCounts(state.local, {
        service: event.service,
        version: event.version,
        route: event.route,
        calls: 1,
        failures: event.outcome === CallOutcome.Failed ? 1 : 0,
        latencyMs: event.latencyMs,
      });
      return [];
    case "received":
      for (const counts of event.message.counts) {
        addCounts(state.gathered, counts);
      }
      return [];
    case "ticked":
      return tick(state, event);
    default:
      return exhausted(event);
  }
}

function addCounts(sums: Map<string, RouteCounts>, counts: RouteCounts) {
  const { service, version, route } = counts;
  const key = `${service} ${version} ${route}`;
  const sum = sums.get(key);
  sums.set(key, {
    ...counts,
    calls: counts.calls + (sum?.calls ?? 0),
    failures: counts.failures + (sum?.failures ?? 0),
    latencyMs: counts.latencyMs + (sum?.latencyMs ?? 0),
  });
}

function tick(state: RolloutState, event: Ticked): readonly RolloutEffect[] {
  const live = [...event.config.rollouts.values()].filter(isLive);
  const effects = live.flatMap((rollout) => [
    ...tellEvidence(state, event, rollout),
    ...lead(state, event, rollout),
  ]);
  state.local.clear();
  if (live.length === 0) state.gathered.clear();
  return effects;
}

function tellEvidence(
  state: RolloutState,
  event: Ticked,
  rollout: Rollout,
): readonly RolloutEffect[] {
  const holder = event.config.leases.get(leaseOf(rollout.id))?.holder;
  const counts = [...state.local.values()].filter((one) =>
    one.service === rollout.service
  );
  if (holder === undefined || counts.length === 0) return [];
  if (holder === state.self) {
    for (const one of counts) addCounts(state.gathered, one);
    return [];
  }
  const message = { type: "rollout/evidence", counts } as const;
  return [{ type: "send", to: holder, message }];
}

function lead(
  state: RolloutState,
  event: Ticked,
  rollout: Rollout,
): readonly RolloutEffect[] {
  const lease = event.config.leases.get(leaseOf(rollout.id));
  if (lease?.holder !== state.self) {
    const isHeld = lease !== undefined && event.alive.has(lease.holder);
    return isHeld ? [] : claim(state, event, rollout, lease?.term ?? 0);
  }
  const step = nextStep(state, event, rollout);
  if (step === undefined) return [];
  state.steppedAt.set(rollout.id, event.now);
  return [{
    type: "append",
    record: {
      kind: RecordKind.RolloutStep,
      rollout: rollout.id,
      term: lease.term,
      step,
    },
  }];
}

function claim(
  state: RolloutState,
  event: Ticked,
  rollout: Rollout,
  term: number,
): readonly RolloutEffect[] {
  const claimedAt = state.claimedAt.get(rollout.id) ?? -Infinity;
  if (!event.isReader || event.now - claimedAt < claimRetryMs) return [];
  state.claimedAt.set(rollout.id, event.now);
  return [{
    type: "append",
    record: {
      kind: RecordKind.Lease,
      name: leaseOf(rollout.id),
      holder: state.self,
      term: term + 1,
    },
  }];
}

function nextStep(
  state: RolloutState,
  event: Ticked,
  rollout: Rollout,
): RolloutStep | undefined {
  const steppedAt = state.steppedAt.get(rollout.id) ?? -Infinity;
  const waited = event.now - steppedAt;
  const fault = findFault(state, rollout);
  if (fault !== undefined) {
    return waited < 1_000 ? undefined : { type: "rollback", reason: fault };
  }
  if (rollout.phase === RolloutPhase.Baking) {
    if (waited < bakeMs) return undefined;
    return { type: "done", reason: "No fault showed while baking." };
  }
  if (waited < stepMs) return undefined;
  const perMille = shares.find((share) => share > rollout.perMille);
  if (perMille === undefined) {
    return { type: "bake", reason: "The version serves alone." };
  }
  return { type: "share", perMille, reason: "No fault showed so far." };
}

function findFault(
  state: RolloutState,
  rollout: Rollout,
): string | undefined {
  for (const counts of state.gathered.values()) {
    const { service, version, route, calls, failures } = counts;
    if (service !== rollout.service || version !== rollout.version) continue;
    if (calls < minCalls || failures / calls <= maxFailureShare) continue;
    return `Route ${route}: ${failures} of ${calls} calls failed.`;
  }
  return undefined;
}
