/**
 * Decides the next action of the leader of a traffic shift, and which node
 * acts.
 *
 * Every node that may lead computes the same action. The first in rank requests
 * the lease immediately. The others request it once the action has been pending
 * for a delay that grows with their rank, since the nodes before them may be
 * frozen without having been detected as failed.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import type { AnalysisResult } from "../rollout/state.ts";
import { measureRate } from "./measure_rate.ts";
import {
  FULL_SHARE,
  isRenewalDue,
  mayComplete,
  planShare,
  RAMP_SHARE,
} from "./plan_share.ts";
import {
  type LeaderAction,
  ShiftPhase,
  type ShiftTickedEvent,
  type TrafficShift,
  type TrafficShiftEffect,
  type TrafficShiftState,
  type VersionLoad,
} from "./state.ts";
import { stepShift } from "./step_shift.ts";
import { sumRuns } from "./sum_runs.ts";

/** Delay per rank before a node requests the lease for an urgent action. */
export const URGENT_DELAY_PER_RANK_MS = 300;

/** Delay per rank before a node requests the lease for any other action. */
const DELAY_PER_RANK_MS = 2_000;

/** Options of `leadShift`. */
export interface LeadShiftOptions {
  readonly state: TrafficShiftState;
  readonly shift: TrafficShift;
  readonly action: LeaderAction | undefined;
  readonly event: ShiftTickedEvent;
}

/**
 * Carries out a pending action if this node leads, or requests the lease when
 * due.
 */
export function leadShift(
  opts: LeadShiftOptions,
): readonly TrafficShiftEffect[] {
  const { state, shift, action, event } = opts;
  const { now, rank } = event;
  if (action === undefined) {
    shift.pendingAction = undefined;
    return [];
  }
  if (
    shift.pendingAction === undefined ||
    !isSameAction(shift.pendingAction, action)
  ) {
    shift.pendingAction = { ...action, since: now };
  }
  if (rank === undefined || now < state.steppedDownUntil) return [];
  if (state.epoch === undefined) {
    const waitMs = rank *
      (isUrgent(action) ? URGENT_DELAY_PER_RANK_MS : DELAY_PER_RANK_MS);
    const isEarly = now - shift.pendingAction.since < waitMs;
    return isEarly ? [] : [{ type: "lease" }];
  }
  const { share, phase } = action;
  return [
    ...(share === undefined ? [] : [stepShift(state, shift, { share }, now)]),
    ...(phase === undefined ? [] : record(state, shift, phase, now)),
  ];
}

/** Options of `nextAction`. */
export interface NextActionOptions {
  readonly state: TrafficShiftState;
  readonly shift: TrafficShift;
  readonly load: VersionLoad;
  readonly analysis: AnalysisResult;
  readonly event: ShiftTickedEvent;
}

/** Returns what the leader of a running traffic shift should do now. */
export function nextAction(opts: NextActionOptions): LeaderAction | undefined {
  const { state, shift, load, analysis, event } = opts;
  const { now, exposure } = event;
  const { step, order } = shift;
  if (shift.fault !== undefined) {
    return {
      share: step.share === 0 ? undefined : 0,
      phase: ShiftPhase.RolledBack,
    };
  }
  const elapsedMs = now - shift.orderedAt;
  const leftMs = order.durationMs - elapsedMs;
  const isDue = shift.recorded === undefined ||
    (!shift.isRenewed && isRenewalDue(leftMs));
  const phase = isDue ? ShiftPhase.Running : undefined;
  const runs = sumRuns(shift.inbox.total);
  const plan = {
    share: step.share,
    elapsedMs,
    durationMs: order.durationMs,
    stageMs: now - shift.stepAt,
    analysis,
    runs,
    ratePerMs: measureRate({ rate: shift.rate, runs, elapsedMs, now }),
    exposure,
  };
  const planned = load.ready === 0 ? step.share : planShare(plan);
  const share = planned === step.share ? undefined : planned;
  if (share !== undefined || phase !== undefined) return { share, phase };
  if (load.ready === 0) return undefined;
  const stageRuns = runs.targetRuns - shift.runsAtStep;
  const { otherCalls } = load;
  const { storeMs } = state;
  return mayComplete({ ...plan, stageRuns, otherCalls, storeMs })
    ? { share, phase: ShiftPhase.Completed }
    : undefined;
}

function isSameAction(a: LeaderAction, b: LeaderAction): boolean {
  return a.share === b.share && a.phase === b.phase;
}

function isUrgent({ share, phase }: LeaderAction): boolean {
  return share === FULL_SHARE || share === RAMP_SHARE || share === 0 ||
    phase === ShiftPhase.Completed || phase === ShiftPhase.RolledBack;
}

function record(
  state: TrafficShiftState,
  shift: TrafficShift,
  phase: ShiftPhase,
  now: MonotonicMs,
): TrafficShiftEffect[] {
  if (shift.recording !== undefined || state.epoch === undefined) return [];
  shift.recording = phase;
  const { service, target } = shift.order;
  return [{
    type: "record",
    epoch: state.epoch,
    status: { service, target, phase },
    elapsedMs: now - shift.orderedAt,
    runs: sumRuns(shift.inbox.total),
  }];
}
