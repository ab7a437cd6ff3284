/**
 * Checks the deadlines and timeouts of all calls in flight with one timer.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Interval at which all attempts are checked. */
const CHECK_INTERVAL_MS = 10;

/** An attempt, or the read of a body, whose deadline is checked. */
export interface Watched {
  readonly deadlineAt: MonotonicMs;
  /** Time of the last byte, `Infinity` while no byte is expected. */
  progressAt: MonotonicMs;
  /** Time from which the attempt is slow for its route, `Infinity` if never. */
  overdueAt: MonotonicMs;
  onDeadline(): void;
  /** Called when no byte was received for `idleMs`. */
  onStalled(): void;
  /** Called once: `overdueAt` is set to `Infinity` before the call. */
  onOverdue(): void;
}

export interface CallWatch {
  add(watched: Watched): void;
  delete(watched: Watched): void;
  close(): void;
}

/** Options of `createCallWatch`. */
export interface CreateCallWatchOptions {
  /** Maximum time without a byte within an answer or upload. */
  readonly idleMs: number;
}

/** Creates a watch. Its timer runs only while there are calls. */
export function createCallWatch(opts: CreateCallWatchOptions): CallWatch {
  const all = new Set<Watched>();
  let timer: NodeJS.Timeout | undefined;

  function check() {
    if (all.size === 0) return stop();
    const now = performance.now();
    for (const one of all) checkOne(one, now, opts.idleMs);
  }

  function stop() {
    clearInterval(timer);
    timer = undefined;
  }

  return {
    add(watched) {
      all.add(watched);
      timer ??= setInterval(check, CHECK_INTERVAL_MS);
    },
    delete: (watched) => all.delete(watched),
    close: stop,
  };
}

function checkOne(one: Watched, now: MonotonicMs, idleMs: number) {
  if (now >= one.deadlineAt) return one.onDeadline();
  if (now - one.progressAt > idleMs) return one.onStalled();
  if (now < one.overdueAt) return;
  one.overdueAt = Infinity;
  one.onOverdue();
}
