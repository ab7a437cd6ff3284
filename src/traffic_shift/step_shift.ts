/**
 * Takes a move from one step to the next.
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

/** What a step changes. */
export type StepChange = Partial<Pick<ShiftStep, "share" | "phase">>;

/** Takes the next step as the leader, and tells the others of it. */
export function stepShift(
  state: TrafficShiftState,
  move: TrafficShift,
  change: StepChange,
  now: MonotonicMs,
): TrafficShiftEffect {
  const step = {
    ...move.step,
    ...change,
    epoch: Math.max(state.epoch ?? 0, move.step.epoch),
    seq: move.step.seq + 1,
    elapsed: elapsedOf(move, now),
  };
  enterStep(move, step, now);
  return { type: "tell", step, runs: sumRuns(move.inbox.total) };
}

/** Applies a step, whoever took it. */
export function enterStep(
  move: TrafficShift,
  step: ShiftStep,
  now: MonotonicMs,
) {
  const before = move.step;
  move.step = step;
  if (step.share !== before.share) {
    move.stepAt = now;
    move.runsAtStep = sumRuns(move.inbox.total).targetRuns;
  }
  // Once a version has taken over, only a fault that is found then counts.
  const isNew = step.phase !== before.phase;
  if (isNew && step.phase === ShiftPhase.Completed) move.fault = undefined;
}

/** Moves only go forward: a version may still be taken back once it is done. */
export function mayFollow(before: ShiftPhase, next: ShiftPhase): boolean {
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
