/**
 * Exit codes of `lagoonctl`.
 * @module
 */

export const ExitCode = {
  Done: 0,
  /** Refused or failed: nothing changed. `check`: errors or findings. */
  Failed: 1,
  /** A wrong command, flag or file. Nothing was sent. */
  Usage: 2,
  /** The edit may or may not have taken effect. */
  Unknown: 3,
  /** The edit was accepted, but not in force everywhere before the timeout. */
  NotInForce: 4,
} as const;
export type ExitCode = typeof ExitCode[keyof typeof ExitCode];
