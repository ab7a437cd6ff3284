/**
 * Counts the outcomes of calls at this node, for metrics.
 * @module
 */

/** Counts since the start. Only the call path changes them. */
export interface CallTotals {
  /** Calls from callers. */
  calls: number;
  answered: number;
  /** Calls with a key that were answered from their claim, without a run. */
  claimed: number;
  /** Refused as not run. */
  notRun: number;
  /** Ended after dispatch without a complete answer. */
  broken: number;
  /** Callers that left before their answer. */
  cancelled: number;
  retries: number;
  overdue: number;
  ejections: number;
  /** Malformed requests. */
  malformed: number;
  /** Calls that other nodes forwarded to this one. */
  forwarded: number;
}

export function createCallTotals(): CallTotals {
  return {
    calls: 0,
    answered: 0,
    claimed: 0,
    notRun: 0,
    broken: 0,
    cancelled: 0,
    retries: 0,
    overdue: 0,
    ejections: 0,
    malformed: 0,
    forwarded: 0,
  };
}
