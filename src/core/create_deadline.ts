/**
 * Limits the time that a call may take.
 * @module
 */

/** Options of `createDeadline`. */
export interface CreateDeadlineOptions {
  readonly limitMs: number;
  /** Names what took too long in the reason of the abort. */
  readonly step: string;
  /** Signals that end the call before. */
  readonly signals: readonly AbortSignal[];
}

export interface Deadline {
  readonly signal: AbortSignal;
  close(): void;
}

/**
 * Starts the time. A timer holds the deadline until it is closed:
 * `AbortSignal.any` holds its sources weakly, so that a time-out which nothing
 * else refers to is collected and never fires.
 */
export function createDeadline(opts: CreateDeadlineOptions): Deadline {
  const { limitMs, step, signals } = opts;
  const controller = new AbortController();
  let turn: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    // An answer that waits unread, since the loop was busy, is taken first.
    turn = setImmediate(() => {
      const message = `${step} took more than ${limitMs} ms`;
      controller.abort(new DOMException(message, "TimeoutError"));
    });
  }, limitMs);
  const onAbort = () => {
    const ended = signals.find(({ aborted }) => aborted);
    controller.abort(ended?.reason);
  };
  for (const one of signals) one.addEventListener("abort", onAbort);
  if (signals.some(({ aborted }) => aborted)) onAbort();

  return {
    signal: controller.signal,
    close() {
      clearTimeout(timer);
      clearImmediate(turn);
      for (const one of signals) one.removeEventListener("abort", onAbort);
    },
  };
}
