/**
 * The control loop: one queue that runs all control events of a process one at
 * a time.
 * @module
 */
import PQueue from "p-queue";

/** Order of waiting events: those with a higher priority run first. */
export const Priority = {
  Rollback: 30,
  Drain: 20,
  Config: 10,
  Gossip: 0,
} as const;
export type Priority = typeof Priority[keyof typeof Priority];

/** Options of `createControlLoop`. */
export interface ControlLoopOptions {
  /** Called with the error of an event handler. The loop then continues. */
  readonly onError: (err: unknown) => void;
  /**
   * Number of waiting events at which further gossip events are refused, so
   * that memory stays bounded.
   */
  readonly maxWaiting: number;
}

/** Runs control events one at a time, by priority. */
export interface ControlLoop {
  /**
   * Queues `handle`. Returns false when it was refused: the loop is closed, or
   * it is full and the event is gossip.
   */
  post(priority: Priority, handle: () => void): boolean;
  /** Resolves when no event waits or runs. */
  idle(): Promise<void>;
  close(): void;
}

/** Creates an empty control loop. */
export function createControlLoop(opts: ControlLoopOptions): ControlLoop {
  const queue = new PQueue({ concurrency: 1 });
  let isClosed = false;
  return {
    post(priority, handle) {
      if (isClosed) return false;
      const isFull = queue.size >= opts.maxWaiting;
      // Only gossip is sent again later. Other events must not be lost.
      if (isFull && priority === Priority.Gossip) return false;
      queue.add(() => runGuarded(handle, opts.onError), { priority });
      return true;
    },
    idle: () => queue.onIdle(),
    close() {
      isClosed = true;
      queue.clear();
    },
  };
}

function runGuarded(handle: () => void, onError: (err: unknown) => void) {
  try {
    handle();
  } catch (err) {
    onError(err);
  }
}
