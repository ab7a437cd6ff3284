/**
 * Decides at a home whether a call may run, wait, or must be refused.
 * @module
 */

/** What the home knows of one endpoint at this moment. */
export interface EndpointLoad {
  readonly slots: number;
  readonly running: number;
  readonly waiting: number;
  /** Recent mean time of a call, in milliseconds. */
  readonly meanMs: number;
}

export type AdmissionDecision =
  | { readonly type: "admit" }
  | { readonly type: "refuse"; readonly reason: string };

/** Options of `decideAdmission`. */
export interface DecideAdmissionOptions {
  readonly load: EndpointLoad;
  /** Time left for the call, in milliseconds. */
  readonly leftMs: number;
}

/** Admits a call whose expected wait leaves time to run. */
export function decideAdmission(
  opts: DecideAdmissionOptions,
): AdmissionDecision {
  const { load, leftMs } = opts;
  if (load.running < load.slots) return { type: "admit" };
  const waitMs = (load.waiting + 1) * load.meanMs / load.slots;
  if (waitMs + load.meanMs <= leftMs && load.waiting < load.slots) {
    return { type: "admit" };
  }
  const wait = Math.ceil(waitMs);
  return {
    type: "refuse",
    reason: `all ${load.slots} slots are taken, expected wait ${wait} ms`,
  };
}
