/**
 * Whether an answer on a call's connection is the call's.
 * @module
 */
import type { AnswerMarks } from "../sidecar/platform_port.ts";

const lowestFailure = 400;

/** Why an answer says nothing of the call that it came for. */
export const AnswerDefect = {
  /** It names no call, or several. */
  Unnamed: "unnamed",
  /** It names another call. */
  Foreign: "foreign",
  /** It is no failure and says that the call did not run. */
  Contradictory: "contradictory",
  /** Callers would read it as not run, and the endpoint does not say so. */
  Unmarked: "unmarked",
} as const;
export type AnswerDefect = typeof AnswerDefect[keyof typeof AnswerDefect];

export type AnswerVerdict =
  | { readonly type: "answer" }
  /** The endpoint did not run the call and will not run it. */
  | { readonly type: "refusal" }
  /** The call may have run, and its connection can't be trusted any more. */
  | { readonly type: "doubt"; readonly doubt: AnswerDefect };

/** Options of `checkAnswer`. */
export interface CheckAnswerOptions {
  readonly status: number;
  readonly marks: AnswerMarks;
  /** Call that was sent last on the answer's connection. */
  readonly callId: string;
}

/**
 * Judges an answer by its head. Endpoints in trouble write answers twice, so
 * one that does not name its call may be another call's.
 */
export function checkAnswer(opts: CheckAnswerOptions): AnswerVerdict {
  const doubt = findDoubt(opts);
  if (doubt !== undefined) return { type: "doubt", doubt };
  return { type: opts.marks.isNotRun ? "refusal" : "answer" };
}

function findDoubt(opts: CheckAnswerOptions): AnswerDefect | undefined {
  const { status, marks, callId } = opts;
  if (marks.callId === undefined) return AnswerDefect.Unnamed;
  if (marks.callId !== callId) return AnswerDefect.Foreign;
  const isFailure = status >= lowestFailure;
  if (marks.isNotRun && !isFailure) return AnswerDefect.Contradictory;
  if (marks.readsAsNotRun && !marks.isNotRun) return AnswerDefect.Unmarked;
  return undefined;
}
