/**
 * Bounds how long a connection waited before it was accepted.
 *
 * The runtime accepts one connection in a turn of the loop. When turns are long
 * and callers come back on new connections, these wait in the kernel's queue,
 * where the lag of the loop does not show.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/** Options of `createAcceptMeter`. */
export interface CreateAcceptMeterOptions {
  readonly now: () => MonotonicMs;
  /** Lag of the event loop. */
  readonly lagMs: () => number;
  /** Runs a callback at the end of this turn, or of the next when called there. */
  readonly defer?: (callback: () => void) => void;
}

export interface AcceptMeter {
  /**
   * Notes a connection that was just accepted. Returns how long it waited at
   * most, in milliseconds: since the queue was last seen empty.
   */
  accepted(): number;
}

/** Creates a meter. It is idle while no connection comes. */
export function createAcceptMeter(
  opts: CreateAcceptMeterOptions,
): AcceptMeter {
  const { now, defer = setImmediate } = opts;
  let isWatching = false;
  let hasAccepted = false;
  let emptyAt: MonotonicMs = 0;

  /** A turn without a connection shows that none was waiting. */
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
