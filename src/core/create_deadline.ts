/**
 * Limits the time that an operation may take.
 * @module
 */

/** Options of `createDeadline`. */
export interface CreateDeadlineOptions {
  readonly limitMs: number;
  /** Name of the operation in the reason of the abort. */
  readonly step: string;
  /** Signals that abort the operation earlier. */
  readonly signals: readonly AbortSignal[];
}

export interface Deadline {
  /** Aborts when the time is over or one of the given signals aborts. */
  readonly signal: AbortSignal;
  /** Stops the timer and the listeners. */
  close(): void;
}

/**
 * Starts a deadline. A timer keeps it referenced until it is closed:
 * `AbortSignal.any` holds its sources weakly, so a timeout signal that nothing
 * else refers to would be garbage-collected and never fire.
 */
export function createDeadline(opts: CreateDeadlineOptions): Deadline {
  const { limitMs, step, signals } = opts;
  const controller = new AbortController();
  let pendingAbort: NodeJS.Immediate | undefined;
  const timer = setTimeout(() => {
    // After a busy event loop, an answer may have arrived in time but still be
    // unread. It is handled before the abort.
    pendingAbort = setImmediate(() => {
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
      clearImmediate(pendingAbort);
      for (const one of signals) one.removeEventListener("abort", onAbort);
    },
  };
}
