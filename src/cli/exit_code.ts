/**
 * Exit codes of `lagoonctl`.
 * @module
 */

export const ExitCode = {
  Done: 0,
  /** Refused or failed. Nothing changed. */
  Failed: 1,
  /** A wrong command, flag or file. Nothing was sent. */
  Usage: 2,
  /** The edit may have taken effect. */
  Unknown: 3,
  /** Accepted, but not in force everywhere in time. */
  NotInForce: 4,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
