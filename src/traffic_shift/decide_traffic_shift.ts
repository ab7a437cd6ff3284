/**
 * Decides how far the moves of services to new versions are.
 *
 * Every node judges the evidence of all nodes and stops using a faulty version
 * by itself. Only the holder of the lease gives a version more, and only it
 * records how a move ended.
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
import { createBake } from "./analyze_bake.ts";
import { enterStep, mayFollow, stepShift } from "./step_shift.ts";
import { recordElapsed } from "./record_elapsed.ts";
import { applyReport } from "./apply_report.ts";
import { tickShift } from "./tick_shift.ts";

/**
 * Time for which a leader that was replaced leads nothing, in milliseconds. Two
 * nodes that take the lease from each other would get nothing done.
 */
const yieldMs = 2_000;

/** Takes one event of the moves in turn. */
export function decideTrafficShift(
  state: TrafficShiftState,
  event: TrafficShiftEvent,
): readonly TrafficShiftEffect[] {
  switch (event.type) {
    case "ordered":
      takeOrder(state, event);
      return [];
    case "status-read":
      return takeStatus(state, event.status, event.now);
    case "order-time-read":
      takeOrderTime(state, event);
      return [];
    case "step-heard":
      takeStep(state, event.step, event.now);
      return [];
    case "report-heard":
      applyReport(state, event.report, event.now);
      return [];
    case "fault-heard":
      takeFault(state, event.fault);
      return [];
    case "recorded":
      state.storeMs = event.tookMs;
      return confirm(state, event.status, event.now);
    case "record-failed": {
      const move = findShift(state, event.status);
      if (move !== undefined) move.recording = undefined;
      return [];
    }
    case "leased":
      state.epoch = event.epoch;
      return [];
    case "ticked":
      return [...state.shifts.values()]
        .flatMap((move) => tickShift(state, move, event));
    default:
      return exhausted(event);
  }
}

function takeOrder(
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
    isTimeKnown: isNew,
    step,
    stepAt: now,
    runsAtStep: 0,
    rate: { since: now, runs: 0, perMs: 0 },
    fault: undefined,
    recorded: isOver ? status.phase : undefined,
    recording: undefined,
    isRenewed: false,
    pendingAction: undefined,
    credit: 0,
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

function takeStatus(
  state: TrafficShiftState,
  status: ShiftStatus,
  now: MonotonicMs,
): readonly TrafficShiftEffect[] {
  const { phase } = status;
  const move = noteStatus(state, status);
  if (move === undefined) return [];
  move.recorded = phase;
  if (phase === move.step.phase || !mayFollow(move.step.phase, phase)) {
    return [];
  }
  const step = stepShift(state, move, { phase, share: shareAt(phase) }, now);
  if (state.epoch !== undefined) return [step];
  // This node has just started: the leader's word is enough for others, and
  // those that saw the move judge how it goes on.
  move.bake = undefined;
  return [];
}

function takeOrderTime(
  state: TrafficShiftState,
  event: Extract<TrafficShiftEvent, { type: "order-time-read" }>,
) {
  const { service, target, elapsedMs, now } = event;
  state.orderTimes.set(service, { target, orderedAt: now - elapsedMs });
  const move = findShift(state, event);
  if (move === undefined || move.isTimeKnown) return;
  move.orderedAt = now - elapsedMs;
}

function takeStep(state: TrafficShiftState, step: ShiftStep, now: MonotonicMs) {
  const move = findShift(state, step);
  if (move === undefined) return;
  recordElapsed(move, step.elapsed, now);
  const isNewer = step.epoch > move.step.epoch ||
    (step.epoch === move.step.epoch && step.seq > move.step.seq);
  if (!isNewer || !mayFollow(move.step.phase, step.phase)) return;
  enterStep(move, step, now);
  if (step.epoch > 0) noteRecorded(move, step.phase, now);
  if (state.epoch === undefined || step.epoch <= state.epoch) return;
  state.epoch = undefined;
  state.yieldUntil = now + yieldMs;
}

/** The leader tells each step once its status is on record. */
function noteRecorded(move: TrafficShift, phase: ShiftPhase, now: MonotonicMs) {
  move.recorded = phase;
  const leftMs = move.order.durationMs - (now - move.orderedAt);
  if (isRenewalDue(leftMs)) move.isRenewed = true;
}

/** A node that has just started has no evidence, and takes others' word. */
function takeFault(state: TrafficShiftState, fault: ShiftFault) {
  const move = findShift(state, fault);
  if (move?.step.phase === fault.phase) move.fault ??= fault.finding;
}

function confirm(
  state: TrafficShiftState,
  status: ShiftStatus,
  now: MonotonicMs,
): readonly TrafficShiftEffect[] {
  const { phase } = status;
  const move = noteStatus(state, status);
  if (move === undefined) return [];
  move.recording = undefined;
  noteRecorded(move, phase, now);
  const share = phase === ShiftPhase.Running ? move.step.share : shareAt(phase);
  return [stepShift(state, move, { phase, share }, now)];
}

/** Keeps a status of the store, and returns its move. */
function noteStatus(state: TrafficShiftState, status: ShiftStatus) {
  const { service, target, phase } = status;
  state.statuses.set(service, status);
  if (phase === ShiftPhase.Completed) state.base.set(service, target);
  return findShift(state, status);
}

/** Share of the target once a move has ended, or before it begins. */
function shareAt(phase: ShiftPhase): number {
  return phase === ShiftPhase.Completed ? 1 : 0;
}
