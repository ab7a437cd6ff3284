/**
 * Whether an answer on a call's connection is the call's.
 * @module
 */
import type { AnswerMarks } from "../sidecar/platform_port.ts";

/** Why an answer says nothing of the call that it came for. */
export const AnswerDoubt = {
  /** It names no call, or several. */
  Unnamed: "unnamed",
  /** It names another call. */
  Foreign: "foreign",
} as const;
export type AnswerDoubt = typeof AnswerDoubt[keyof typeof AnswerDoubt];

export type AnswerVerdict =
  | { readonly type: "answer" }
  /** The endpoint did not run the call and will not run it. */
  | { readonly type: "refusal" }
  /** The call may have run, and its connection can't be trusted any more. */
  | { readonly type: "doubt"; readonly doubt: AnswerDoubt };

/**
 * Judges an answer by its head. Endpoints in trouble write answers twice, so
 * one that does not name its call may be another call's.
 */
export function judgeAnswer(
  marks: AnswerMarks,
  callId: string,
): AnswerVerdict {
  if (marks.callId === undefined) {
    return { type: "doubt", doubt: AnswerDoubt.Unnamed };
  }
  if (marks.callId !== callId) {
    return { type: "doubt", doubt: AnswerDoubt.Foreign };
  }
  return { type: marks.isNotRun ? "refusal" : "answer" };
}
