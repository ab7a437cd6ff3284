/**
 * Chooses the version that runs a request.
 * @module
 */
import { ShiftPhase, type TrafficShiftState } from "./state.ts";

/**
 * Versions of a service that a request may run on, the preferred one first.
 * `present` lists the versions with a ready endpoint.
 *
 * Beside the target of an order, traffic stays on the version that carried it
 * before, so endpoints that start ahead of their order get nothing.
 */
export function chooseVersions(
  state: TrafficShiftState,
  service: string,
  present: readonly string[],
): readonly string[] {
  const move = state.shifts.get(service);
  if (move === undefined) return chooseBase(state, service, present);
  const { target } = move.order;
  const withdrawn = state.withdrawn.get(service);
  const rest = present.filter((version) =>
    version !== target && withdrawn?.has(version) !== true
  );
  const base = state.base.get(service);
  const others = base !== undefined && rest.includes(base) ? [base] : rest;
  switch (move.step.phase) {
    case ShiftPhase.Completed:
      if (move.fault !== undefined) return others;
      return present.includes(target) ? [target] : others;
    case ShiftPhase.RolledBack:
      return others;
    case ShiftPhase.Running:
      break;
  }
  const share = move.fault === undefined ? move.step.share : 0;
  if (!present.includes(target) || share === 0) return others;
  if (others.length === 0) return share === 1 ? [target] : [];
  move.credit += share;
  if (move.credit < 1) return others;
  move.credit -= 1;
  return [target];
}

function chooseBase(
  state: TrafficShiftState,
  service: string,
  present: readonly string[],
): readonly string[] {
  const base = state.base.get(service);
  if (base !== undefined && present.includes(base)) return [base];
  const [first] = present;
  if (first === undefined) return [];
  // Homes that are out of reach for a moment come back with their version.
  if (base === undefined) state.base.set(service, first);
  return [first];
}
