/**
 * Decides the share and the phase of each service's traffic shift.
 *
 * Every node analyzes the evidence of all nodes and stops sending requests to a
 * faulty version without waiting for others. Only the holder of the lease (the
 * leader) raises a version's share, and only it records the end of a traffic
 * shift in the store.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { createAnalysisState, createInbox } from "../rollout/create_track.ts";
import {
  type ShiftFault,
  ShiftPhase,
  type ShiftStatus,
  type ShiftStep,
  type TrafficShift,
  type TrafficShiftEffect,
  type TrafficShiftEvent,
  type TrafficShiftState,
} from "./state.ts";
import { findShift } from "./find_shift.ts";
import { isRenewalDue } from "./plan_share.ts";
import { URGENT_DELAY_PER_RANK_MS } from "./lead_shift.ts";
import { createBake } from "./analyze_bake.ts";
import {
  applyStep,
  isOlderPhase,
  isValidTransition,
  stepShift,
} from "./step_shift.ts";
import { recordElapsed } from "./record_elapsed.ts";
import { applyReport } from "./apply_report.ts";
import { tickShift } from "./tick_shift.ts";

/**
 * Time for which a replaced leader does not lead again. Without it, two nodes
 * could take the lease from each other without making progress.
 */
const STEP_DOWN_MS = 2_000;

/**
 * Applies an event to the traffic shifts and returns the effects to carry out.
 */
export function decideTrafficShift(
  state: TrafficShiftState,
  event: TrafficShiftEvent,
): readonly TrafficShiftEffect[] {
  switch (event.type) {
    case "ordered":
      handleOrder(state, event);
      return [];
    case "status-read":
      return handleStatus(state, event.status, event.now);
    case "order-time-read":
      handleOrderTime(state, event);
      return [];
    case "step-received":
      handleStep(state, event.step, event.now);
      return [];
    case "report-received":
      applyReport(state, event.report, event.now);
      return [];
    case "fault-received":
      handleFault(state, event.fault);
      return [];
    case "recorded":
      state.storeMs = event.tookMs;
      return handleRecorded(state, event.status, event.now);
    case "record-failed": {
      const shift = findShift(state, event.status);
      if (shift !== undefined) shift.recording = undefined;
      return [];
    }
    case "leased":
      state.epoch = event.epoch;
      return [];
    case "store-restored":
      forgetRecorded(state);
      return [];
    case "ran":
      dropLeaseAfterPause(state, event);
      return [];
    case "ticked":
      return [...state.shifts.values()]
        .flatMap((shift) => tickShift(state, shift, event));
    default:
      return exhausted(event);
  }
}

/**
 * Drops the lease of a leader that did not run for a while: another node may
 * have taken over, and this node must not act before the store has granted the
 * lease again. The monotonic clock stands still while a VM is suspended, so the
 * wall clock counts too.
 */
function dropLeaseAfterPause(
  state: TrafficShiftState,
  { now, wall }: Extract<TrafficShiftEvent, { type: "ran" }>,
) {
  const { ranAt } = state;
  state.ranAt = { now, wall };
  if (ranAt === undefined) return;
  const pausedMs = Math.max(now - ranAt.now, Math.abs(wall - ranAt.wall));
  if (pausedMs >= URGENT_DELAY_PER_RANK_MS) state.epoch = undefined;
}

/**
 * Forgets what the store has confirmed, so that the leader records it again.
 * The phases stay as this node knows them. A leader needs a new lease first,
 * since the store has forgotten which epoch is the newest.
 */
function forgetRecorded(state: TrafficShiftState) {
  state.epoch = undefined;
  for (const shift of state.shifts.values()) {
    shift.recorded = undefined;
    shift.isStatusLost = shift.step.phase !== ShiftPhase.Running;
  }
}

function handleOrder(
  state: TrafficShiftState,
  event: Extract<TrafficShiftEvent, { type: "ordered" }>,
) {
  const { order, isNew, now } = event;
  const known = state.shifts.get(order.service);
  if (known?.order.target === order.target) return;
  if (known !== undefined && known.step.phase !== ShiftPhase.Completed) {
    withdrawnOf(state, order.service).add(known.order.target);
  }
  withdrawnOf(state, order.service).delete(order.target);
  const status = state.statuses.get(order.service);
  const isOver = status?.target === order.target;
  const step: ShiftStep = {
    service: order.service,
    target: order.target,
    epoch: 0,
    seq: 0,
    phase: isOver ? status.phase : ShiftPhase.Running,
    share: 0,
    elapsed: { ms: 0, isKnown: isNew },
  };
  const time = state.orderTimes.get(order.service);
  const orderedAt = !isNew && time?.target === order.target
    ? Math.min(now, time.orderedAt)
    : now;
  state.shifts.set(order.service, {
    order,
    orderedAt,
    isOrderTimeKnown: isNew,
    step,
    stepAt: now,
    runsAtStep: 0,
    rate: { since: now, runs: 0, perMs: 0 },
    fault: undefined,
    recorded: isOver ? status.phase : undefined,
    recording: undefined,
    isStatusLost: false,
    isRenewed: false,
    pendingAction: undefined,
    shareRemainder: 0,
    local: new Map(),
    localSeq: 0,
    reportedAt: -Infinity,
    inbox: createInbox(),
    analysisState: createAnalysisState(now),
    bake: isOver && status.phase !== ShiftPhase.Running
      ? undefined
      : createBake(),
  });
}

function withdrawnOf(state: TrafficShiftState, service: string): Set<string> {
  const known = state.withdrawn.get(service);
  if (known !== undefined) return known;
  const versions = new Set<string>();
  state.withdrawn.set(service, versions);
  return versions;
}

function handleStatus(
  state: TrafficShiftState,
  status: ShiftStatus,
  now: MonotonicMs,
): readonly TrafficShiftEffect[] {
  const { phase } = status;
  const known = findShift(state, status);
  if (known !== undefined && isOlderPhase(phase, known.step.phase)) {
    // The store was restored from a copy in which the traffic shift runs.
    known.isStatusLost = true;
    return [];
  }
  const shift = saveStatus(state, status);
  if (shift === undefined) return [];
  shift.recorded = phase;
  if (phase === shift.step.phase) shift.isStatusLost = false;
  if (
    phase === shift.step.phase || !isValidTransition(shift.step.phase, phase)
  ) {
    return [];
  }
  const step = stepShift(
    state,
    shift,
    { phase, share: shareOfPhase(phase) },
    now,
  );
  if (state.epoch !== undefined) return [step];
  // This node has just started. It does not announce the step, since the leader
  // does, and leaves the bake analysis to nodes that have the evidence.
  shift.bake = undefined;
  return [];
}

function handleOrderTime(
  state: TrafficShiftState,
  event: Extract<TrafficShiftEvent, { type: "order-time-read" }>,
) {
  const { service, target, elapsedMs, now } = event;
  state.orderTimes.set(service, { target, orderedAt: now - elapsedMs });
  const shift = findShift(state, event);
  if (shift === undefined || shift.isOrderTimeKnown) return;
  shift.orderedAt = now - elapsedMs;
}

function handleStep(
  state: TrafficShiftState,
  step: ShiftStep,
  now: MonotonicMs,
) {
  const shift = findShift(state, step);
  if (shift === undefined) return;
  recordElapsed(shift, step.elapsed, now);
  const isNewer = step.epoch > shift.step.epoch ||
    (step.epoch === shift.step.epoch && step.seq > shift.step.seq);
  if (!isNewer) return;
  // The leader has recorded the end once more, in a restored store.
  if (step.phase === shift.step.phase) shift.isStatusLost = false;
  if (!isValidTransition(shift.step.phase, step.phase)) return;
  applyStep(shift, step, now);
  if (step.epoch > 0) setRecordedPhase(shift, step.phase, now);
  if (state.epoch === undefined || step.epoch <= state.epoch) return;
  state.epoch = undefined;
  state.steppedDownUntil = now + STEP_DOWN_MS;
}

/**
 * Marks a phase as recorded. The leader announces a phase only after recording
 * it.
 */
function setRecordedPhase(
  shift: TrafficShift,
  phase: ShiftPhase,
  now: MonotonicMs,
) {
  shift.recorded = phase;
  shift.isStatusLost = false;
  const leftMs = shift.order.durationMs - (now - shift.orderedAt);
  if (isRenewalDue(leftMs)) shift.isRenewed = true;
}

/**
 * Adopts a fault that another node found. A node that has just started has no
 * evidence yet, so it can't find the fault.
 */
function handleFault(state: TrafficShiftState, fault: ShiftFault) {
  const shift = findShift(state, fault);
  if (shift?.step.phase === fault.phase) shift.fault ??= fault.finding;
}

function handleRecorded(
  state: TrafficShiftState,
  status: ShiftStatus,
  now: MonotonicMs,
): readonly TrafficShiftEffect[] {
  const { phase } = status;
  const shift = saveStatus(state, status);
  if (shift === undefined) return [];
  shift.recording = undefined;
  setRecordedPhase(shift, phase, now);
  const share = phase === ShiftPhase.Running
    ? shift.step.share
    : shareOfPhase(phase);
  return [stepShift(state, shift, { phase, share }, now)];
}

/** Saves a status from the store and returns its traffic shift. */
function saveStatus(state: TrafficShiftState, status: ShiftStatus) {
  const { service, target, phase } = status;
  state.statuses.set(service, status);
  if (phase === ShiftPhase.Completed) state.base.set(service, target);
  return findShift(state, status);
}

/**
 * Returns the target's share after the end of a traffic shift, or before its
 * start.
 */
function shareOfPhase(phase: ShiftPhase): number {
  return phase === ShiftPhase.Completed ? 1 : 0;
}
