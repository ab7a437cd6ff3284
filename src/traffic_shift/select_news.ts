/**
 * Selects the messages about traffic shifts that a node forwards. Each node
 * forwards a step or fault once, when it first receives it.
 * @module
 */
import type { ShiftFault, ShiftStep } from "./state.ts";

/** Number of remembered messages. The oldest are dropped first. */
const MAX_REMEMBERED = 1_000;

export interface ShiftNewsState {
  /** Newest step of each service and target. */
  readonly steps: Map<string, Pick<ShiftStep, "epoch" | "seq">>;
  readonly faults: Set<string>;
}

export function createShiftNewsState(): ShiftNewsState {
  return { steps: new Map(), faults: new Set() };
}

/** Returns whether a step is newer than all that were seen before. */
export function isNewStep(state: ShiftNewsState, step: ShiftStep): boolean {
  const key = `${step.service} ${step.target}`;
  const known = state.steps.get(key);
  const isNew = known === undefined || step.epoch > known.epoch ||
    (step.epoch === known.epoch && step.seq > known.seq);
  if (!isNew) return false;
  state.steps.delete(key);
  state.steps.set(key, { epoch: step.epoch, seq: step.seq });
  dropOldest(state.steps);
  return true;
}

/** Returns whether a fault is seen for the first time. */
export function isNewFault(state: ShiftNewsState, fault: ShiftFault): boolean {
  const key = `${fault.service} ${fault.target} ${fault.phase}`;
  if (state.faults.has(key)) return false;
  state.faults.add(key);
  dropOldest(state.faults);
  return true;
}

function dropOldest(remembered: Map<string, unknown> | Set<string>) {
  if (remembered.size <= MAX_REMEMBERED) return;
  const [oldest] = remembered.keys();
  if (oldest !== undefined) remembered.delete(oldest);
}
