/**
 * State of load shedding at one endpoint: what each urgency class recently
 * used.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/**
 * Limit of an urgency. Higher values count as this one, which bounds the number
 * of classes to 65.
 */
export const MAX_URGENCY = 7;

/** Properties of a call by which it is compared with others. */
export interface ShedCall {
  /** 0 is the most urgent. */
  readonly urgency: number;
  /** Urgency of the call's account, compared before `urgency`. */
  readonly accountUrgency?: number | undefined;
  readonly isNested: boolean;
  /**
   * Fraction of its time that the call may wait once it misses its latency
   * objective. Undefined for the least.
   */
  readonly lateShare?: number | undefined;
}

/**
 * Identifies an urgency class. A lower one is more urgent. Nested calls are the
 * most urgent class, since their parents hold slots.
 */
export type ClassKey = number;

/** What the calls of one urgency class recently offered and used. */
export interface ClassUse {
  readonly key: ClassKey;
  /** Decaying number of slots that started calls of the class use. */
  slots: number;
  /** Decaying number of offered calls. */
  offered: number;
  /** Time to which the decaying numbers apply. */
  at: MonotonicMs;
  /**
   * Moving mean of the time by which the class's calls are ordered as if they
   * had arrived later, in milliseconds.
   */
  delayMs: number;
  /** Starts that the class is owed. From one on, its next call starts first. */
  credit: number;
}

export interface SheddingState {
  readonly classes: Map<ClassKey, ClassUse>;
  /** The most urgent class that was offered recently, without nested calls. */
  mostUrgent: ClassKey;
}

export function createSheddingState(): SheddingState {
  return { classes: new Map(), mostUrgent: 0 };
}
