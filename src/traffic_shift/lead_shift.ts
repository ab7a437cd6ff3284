/**
 * Decides what the leader of a move does next, and who acts for it.
 *
 * Every node that may lead works out the same action. The first of them takes it
 * at once; the next ones take it when it has been due for a while, because the
 * first one is stuck and nobody has noticed yet.
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

/** Time that each further node waits with what can't wait, in milliseconds. */
const urgentDelayMs = 300;

/** The same for everything else, in milliseconds. */
const delayMs = 2_000;

/** Options of `leadShift`. */
export interface LeadShiftOptions {
  readonly state: TrafficShiftState;
  readonly move: TrafficShift;
  readonly action: LeaderAction | undefined;
  readonly event: ShiftTickedEvent;
}

/** Takes an action that is due, if it is this node's turn. */
export function leadShift(
  opts: LeadShiftOptions,
): readonly TrafficShiftEffect[] {
  const { state, move, action, event } = opts;
  const { now, rank } = event;
  if (action === undefined) {
    move.pendingAction = undefined;
    return [];
  }
  if (
    move.pendingAction === undefined ||
    !isSameAction(move.pendingAction, action)
  ) {
    move.pendingAction = { ...action, since: now };
  }
  if (rank === undefined || now < state.yieldUntil) return [];
  if (state.epoch === undefined) {
    const waitMs = rank * (isUrgent(action) ? urgentDelayMs : delayMs);
    const isEarly = now - move.pendingAction.since < waitMs;
    return isEarly ? [] : [{ type: "lease" }];
  }
  const { share, phase } = action;
  return [
    ...(share === undefined ? [] : [stepShift(state, move, { share }, now)]),
    ...(phase === undefined ? [] : record(state, move, phase, now)),
  ];
}

/** Options of `nextAction`. */
export interface NextActionOptions {
  readonly state: TrafficShiftState;
  readonly move: TrafficShift;
  readonly load: VersionLoad;
  readonly analysis: AnalysisResult;
  readonly event: ShiftTickedEvent;
}

/** What the leader of a running move should do now. */
export function nextAction(opts: NextActionOptions): LeaderAction | undefined {
  const { state, move, load, analysis, event } = opts;
  const { now, exposure } = event;
  const { step, order } = move;
  if (move.fault !== undefined) {
    return {
      share: step.share === 0 ? undefined : 0,
      phase: ShiftPhase.RolledBack,
    };
  }
  const elapsedMs = now - move.orderedAt;
  const leftMs = order.durationMs - elapsedMs;
  const isDue = move.recorded === undefined ||
    (!move.isRenewed && isRenewalDue(leftMs));
  const phase = isDue ? ShiftPhase.Running : undefined;
  const runs = sumRuns(move.inbox.total);
  const plan = {
    share: step.share,
    elapsedMs,
    durationMs: order.durationMs,
    stageMs: now - move.stepAt,
    analysis,
    runs,
    ratePerMs: measureRate({ rate: move.rate, runs, elapsedMs, now }),
    exposure,
  };
  const planned = load.ready === 0 ? step.share : planShare(plan);
  const share = planned === step.share ? undefined : planned;
  if (share !== undefined || phase !== undefined) return { share, phase };
  if (load.ready === 0) return undefined;
  const stageRuns = runs.targetRuns - move.runsAtStep;
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
  move: TrafficShift,
  phase: ShiftPhase,
  now: MonotonicMs,
): TrafficShiftEffect[] {
  if (move.recording !== undefined || state.epoch === undefined) return [];
  move.recording = phase;
  const { service, target } = move.order;
  return [{
    type: "record",
    epoch: state.epoch,
    status: { service, target, phase },
    elapsedMs: now - move.orderedAt,
    runs: sumRuns(move.inbox.total),
  }];
}
