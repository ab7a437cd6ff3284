/**
 * Estimates how long a connection waited at most before it was accepted.
 *
 * Node.js accepts one connection in a turn of the event loop. When turns are
 * long and callers reconnect, the connections wait in the kernel's queue, and
 * the lag of the event loop does not include that wait.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Options of `createAcceptMeter`. */
export interface CreateAcceptMeterOptions {
  readonly now: () => MonotonicMs;
  /** Lag of the event loop. */
  readonly lagMs: () => number;
  /**
   * Runs a callback at the end of this turn of the event loop, or of the next
   * turn when called from such a callback.
   */
  readonly defer?: (callback: () => void) => void;
}

export interface AcceptMeter {
  /**
   * Records a connection that was just accepted. Returns how long it waited at
   * most, in milliseconds: the time since the queue was last known to be empty.
   */
  accepted(): number;
}

/** Creates a meter. It schedules callbacks only while connections arrive. */
export function createAcceptMeter(
  opts: CreateAcceptMeterOptions,
): AcceptMeter {
  const { now, defer = setImmediate } = opts;
  let isWatching = false;
  let hasAccepted = false;
  let emptyAt: MonotonicMs = 0;

  /** After a turn without an accepted connection the queue is empty. */
  function watch() {
    hasAccepted = false;
    defer(() => {
      isWatching = hasAccepted;
      if (isWatching) watch();
    });
  }

  return {
    accepted() {
      hasAccepted = true;
      if (!isWatching) {
        isWatching = true;
        emptyAt = now() - opts.lagMs();
        defer(watch);
      }
      return now() - emptyAt;
    },
  };
}
