/**
 * Advances a traffic shift to its next step.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { elapsedOf } from "./record_elapsed.ts";
import {
  ShiftPhase,
  type ShiftStep,
  type TrafficShift,
  type TrafficShiftEffect,
  type TrafficShiftState,
} from "./state.ts";
import { sumRuns } from "./sum_runs.ts";

/** Fields that a step changes. */
export type StepChange = Partial<Pick<ShiftStep, "share" | "phase">>;

/**
 * Creates and applies the next step as the leader. The effect sends it to the
 * others.
 */
export function stepShift(
  state: TrafficShiftState,
  shift: TrafficShift,
  change: StepChange,
  now: MonotonicMs,
): TrafficShiftEffect {
  const step = {
    ...shift.step,
    ...change,
    epoch: Math.max(state.epoch ?? 0, shift.step.epoch),
    seq: shift.step.seq + 1,
    elapsed: elapsedOf(shift, now),
  };
  applyStep(shift, step, now);
  return { type: "send-step", step, runs: sumRuns(shift.inbox.total) };
}

/** Applies a step of this node or of the leader. */
export function applyStep(
  shift: TrafficShift,
  step: ShiftStep,
  now: MonotonicMs,
) {
  const before = shift.step;
  shift.step = step;
  if (step.share !== before.share) {
    shift.stepAt = now;
    shift.runsAtStep = sumRuns(shift.inbox.total).targetRuns;
  }
  // After a version has taken over, only faults found from then on count.
  const isNew = step.phase !== before.phase;
  if (isNew && step.phase === ShiftPhase.Completed) shift.fault = undefined;
}

/** Returns whether a phase comes before another. */
export function isOlderPhase(phase: ShiftPhase, than: ShiftPhase): boolean {
  return phase !== than && isValidTransition(phase, than);
}

/**
 * Returns whether a phase may follow another. A completed traffic shift may
 * still be rolled back, but no phase returns to an earlier phase.
 */
export function isValidTransition(
  before: ShiftPhase,
  next: ShiftPhase,
): boolean {
  switch (before) {
    case ShiftPhase.Running:
      return true;
    case ShiftPhase.Completed:
      return next === ShiftPhase.RolledBack;
    case ShiftPhase.RolledBack:
      return false;
    default:
      return exhausted(before);
  }
}
