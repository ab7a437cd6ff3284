/**
 * Errors that carry a stable code, the step, the peer and a hint.
 * @module
 */

/** An expected failure. `code` is stable; `hint` says how to mend it. */
export interface LagoonError {
  readonly code: `LAGOON_${string}`;
  /** What was being done. */
  readonly step: string;
  /** Whom it was done with, where there is one. */
  readonly peer?: string;
  readonly message: string;
  readonly hint?: string;
}

/** Formats an error as one line for logs and operators. */
export function formatError(err: LagoonError): string {
  const peer = err.peer === undefined ? "" : ` with ${err.peer}`;
  const hint = err.hint === undefined ? "" : ` ${err.hint}`;
  return `${err.code}: ${err.step}${peer}: ${err.message}.${hint}`;
}
