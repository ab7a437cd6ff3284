/**
 * Counts the outcomes of calls at this node, for metrics.
 * @module
 */

/** Counts since the start. Only the call path changes them. */
export interface CallTotals {
  /** Calls from callers. */
  calls: number;
  answered: number;
  /**
   * Calls with an idempotency key that were answered or refused by their claim
   * request, without a run.
   */
  claimed: number;
  /** Calls that were refused and have not run. */
  notRun: number;
  /** Calls that ended after dispatch without a complete answer. */
  broken: number;
  /** Calls whose caller disconnected before the end of the answer. */
  cancelled: number;
  retries: number;
  overdue: number;
  ejections: number;
  /** Malformed requests. */
  malformed: number;
  /** Calls that other nodes forwarded to this node. */
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
