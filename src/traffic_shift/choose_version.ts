/**
 * Chooses the version that runs a request.
 * @module
 */
import { ShiftPhase, type TrafficShiftState } from "./state.ts";

/**
 * Returns the versions of a service that a request may run on, in order of
 * preference. `present` lists the versions with a ready endpoint.
 *
 * Requests that are not shifted to the target go to the base version: the first
 * version seen, or the target of the last completed shift. A version without a
 * shift order gets requests only while the base version has no ready endpoint.
 */
export function chooseVersions(
  state: TrafficShiftState,
  service: string,
  present: readonly string[],
): readonly string[] {
  const shift = state.shifts.get(service);
  if (shift === undefined) return chooseBase(state, service, present);
  const { target } = shift.order;
  const withdrawn = state.withdrawn.get(service);
  const rest = present.filter((version) =>
    version !== target && withdrawn?.has(version) !== true
  );
  const base = state.base.get(service);
  const others = base !== undefined && rest.includes(base) ? [base] : rest;
  switch (shift.step.phase) {
    case ShiftPhase.Completed:
      if (shift.fault !== undefined) return others;
      return present.includes(target) ? [target] : others;
    case ShiftPhase.RolledBack:
      return others;
    case ShiftPhase.Running:
      break;
  }
  const share = shift.fault === undefined ? shift.step.share : 0;
  if (!present.includes(target) || share === 0) return others;
  if (others.length === 0) return share === 1 ? [target] : [];
  shift.shareRemainder += share;
  if (shift.shareRemainder < 1) return others;
  shift.shareRemainder -= 1;
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
  // The base version is kept while none of its endpoints is reachable, since
  // they may be reachable again soon.
  if (base === undefined) state.base.set(service, first);
  return [first];
}
