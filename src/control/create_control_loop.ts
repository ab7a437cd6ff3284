/**
 * The control loop: one queue that takes every control event in turn.
 * @module
 */
import PQueue from "p-queue";

/** Order of events that wait at the same time. Higher goes first. */
export const Priority = {
  Rollback: 30,
  Drain: 20,
  Config: 10,
  Gossip: 0,
} as const;
export type Priority = typeof Priority[keyof typeof Priority];

/** Options of `createControlLoop`. */
export interface ControlLoopOptions {
  /** Called with what an event handler threw; the loop goes on. */
  readonly onError: (err: unknown) => void;
  /** Events allowed to wait. More are refused, so memory stays bounded. */
  readonly maxWaiting: number;
}

/** Runs control events one at a time, by priority. */
export interface ControlLoop {
  /** Queues `handle`. False when too many wait and gossip is refused. */
  post(priority: Priority, handle: () => void): boolean;
  /** Waits until no event waits. */
  idle(): Promise<void>;
  close(): void;
}

/** Creates a control loop of concurrency 1. */
export function createControlLoop(opts: ControlLoopOptions): ControlLoop {
  const queue = new PQueue({ concurrency: 1 });
  let closed = false;
  return {
    post(priority, handle) {
      if (closed) return false;
      const isFull = queue.size >= opts.maxWaiting;
      // Only gossip repairs itself later; the rest must not be lost.
      if (isFull && priority === Priority.Gossip) return false;
      queue.add(() => runGuarded(handle, opts.onError), { priority });
      return true;
    },
    idle: () => queue.onIdle(),
    close() {
      closed = true;
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
