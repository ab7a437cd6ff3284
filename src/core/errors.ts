/**
 * Errors with a stable code, the failed step, the peer and a hint.
 * @module
 */

/** An expected failure. `code` is stable; `hint` says how to resolve it. */
export interface LagoonError {
  readonly code: `LAGOON_${string}`;
  /** Operation that failed. */
  readonly step: string;
  /** The other process involved, if any. */
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
