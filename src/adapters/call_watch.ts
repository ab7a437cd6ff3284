/**
 * Watches the clocks of calls in flight with one timer for all of them.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

const checkMs = 10;

/** An attempt whose clocks are watched. */
export interface Watched {
  readonly deadlineAt: MonotonicMs;
  /** Time of its last progress, `Infinity` while its reader is slow. */
  progressAt: MonotonicMs;
  /** Time from which it is overdue against its route's recent calls. */
  overdueAt: MonotonicMs;
  onLate(): void;
  /** No byte came for the idle limit. */
  onStalled(): void;
  /** Called once. `overdueAt` is `Infinity` then, unless it is set again. */
  onOverdue(): void;
}

export interface CallWatch {
  add(watched: Watched): void;
  delete(watched: Watched): void;
  close(): void;
}

/** Options of `createCallWatch`. */
export interface CreateCallWatchOptions {
  /** Longest pause within an answer or an upload, in milliseconds. */
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
      timer ??= setInterval(check, checkMs);
    },
    delete: (watched) => all.delete(watched),
    close: stop,
  };
}

function checkOne(one: Watched, now: MonotonicMs, idleMs: number) {
  if (now >= one.deadlineAt) return one.onLate();
  if (now - one.progressAt > idleMs) return one.onStalled();
  if (now < one.overdueAt) return;
  one.overdueAt = Infinity;
  one.onOverdue();
}
