/**
 * Checks whether an answer belongs to the last call that was sent on its
 * connection, and whether the call has run.
 * @module
 */
import type { AnswerMarks } from "../sidecar/platform_port.ts";

/** Lowest HTTP status that reports a failure, of the client or the server. */
const LOWEST_FAILURE_STATUS = 400;

/** Final statuses. Lower ones are interim or malformed, higher ones undefined. */
const FINAL_STATUSES = { lowest: 200, highest: 599 } as const;

/** Why an answer can't be attributed to its call, or contradicts itself. */
export const AnswerDefect = {
  /** The answer carries no call id, or several. */
  Unnamed: "unnamed",
  /** The answer carries the id of another call. */
  Foreign: "foreign",
  /** The answer has a success status and states that the call did not run. */
  Contradictory: "contradictory",
  /**
   * The status means to callers that the call did not run, but the answer lacks
   * the not-run header.
   */
  Unmarked: "unmarked",
  /** The status is not one of a final answer. */
  NotFinal: "not_final",
} as const;
export type AnswerDefect = typeof AnswerDefect[keyof typeof AnswerDefect];

export type AnswerVerdict =
  | { readonly type: "answer" }
  /** The endpoint states that it did not run the call and will not run it. */
  | { readonly type: "refusal" }
  /**
   * The answer can't be trusted: the call may have run, and the connection has
   * to be closed.
   */
  | { readonly type: "doubt"; readonly defect: AnswerDefect };

/** Options of `checkAnswer`. */
export interface CheckAnswerOptions {
  readonly status: number;
  readonly marks: AnswerMarks;
  /** Id of the call that was sent last on the answer's connection. */
  readonly callId: string;
}

/**
 * Decides by the head of an answer whether it can be forwarded. Faulty
 * endpoints write answers twice, so an answer without the call's id may belong
 * to another call.
 */
export function checkAnswer(opts: CheckAnswerOptions): AnswerVerdict {
  const defect = findDefect(opts);
  if (defect !== undefined) return { type: "doubt", defect };
  return { type: opts.marks.isNotRun ? "refusal" : "answer" };
}

function findDefect(opts: CheckAnswerOptions): AnswerDefect | undefined {
  const { status, marks, callId } = opts;
  if (status < FINAL_STATUSES.lowest || status > FINAL_STATUSES.highest) {
    return AnswerDefect.NotFinal;
  }
  if (marks.callId === undefined) return AnswerDefect.Unnamed;
  if (marks.callId !== callId) return AnswerDefect.Foreign;
  const isFailure = status >= LOWEST_FAILURE_STATUS;
  if (marks.isNotRun && !isFailure) return AnswerDefect.Contradictory;
  if (marks.readsAsNotRun && !marks.isNotRun) return AnswerDefect.Unmarked;
  return undefined;
}
