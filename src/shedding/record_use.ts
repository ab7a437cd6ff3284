/**
 * Records what the calls of each urgency class offer and use.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { NESTED_CLASS } from "./class_of.ts";
import type { ClassKey, ClassUse, SheddingState } from "./state.ts";

/**
 * Time constant of the decaying numbers, in milliseconds. Short enough to
 * follow a burst of a few seconds, and long enough to hold some tens of starts
 * of an endpoint.
 */
const USE_DECAY_MS = 1_000;

/** Weight of the newest call in the mean delay of its class. */
const NEWEST_DELAY_WEIGHT = 0.1;

/**
 * Fraction of its share of the offered calls that a class with waiting calls
 * gets of the starts. The required quarter, with a margin for calls that are
 * refused after they were owed a start.
 */
const OWED_SHARE = 0.3;

/**
 * Fraction of the starts that a class with few recent offers gets while a call
 * of it waits, so that it waits for a bounded number of starts: its share of
 * the offers says nothing.
 */
const FEW_OFFERS_SHARE = 1 / 24;

/** Decaying number of offers up to which a class has few. */
const FEW_OFFERS = 2;

/**
 * Decaying number of offers from which a class counts as offered recently: one
 * offer counts for 3 s.
 */
const MIN_RECENT_OFFERS = 0.05;

/** Limit of the starts that a class is owed. */
const MAX_CREDIT = 2;

/** Records that a call of the class was offered. */
export function recordOffer(
  state: SheddingState,
  key: ClassKey,
  now: MonotonicMs,
) {
  useOf(state, key, now).offered++;
  state.mostUrgent = Infinity;
  for (const use of state.classes.values()) {
    if (use.key === NESTED_CLASS || use.key >= state.mostUrgent) continue;
    if (decayed(use, now).offered >= MIN_RECENT_OFFERS) {
      state.mostUrgent = use.key;
    }
  }
}

/** Options of `recordStart`. */
export interface RecordStartOptions {
  readonly key: ClassKey;
  /** Expected run time of the call, in milliseconds. */
  readonly runMs: number;
  /** Time by which the call stood back for more urgent ones. */
  readonly delayMs: number;
  /** Classes that have waiting calls, besides the call that starts. */
  readonly waiting: ReadonlySet<ClassKey>;
  readonly now: MonotonicMs;
}

/** Records that a call starts, and what the classes that wait are owed for it. */
export function recordStart(state: SheddingState, opts: RecordStartOptions) {
  const { key, runMs, waiting, now } = opts;
  const started = useOf(state, key, now);
  started.slots += runMs / USE_DECAY_MS;
  started.delayMs += (opts.delayMs - started.delayMs) * NEWEST_DELAY_WEIGHT;
  started.credit = Math.max(0, started.credit - 1);
  if (waiting.size === 0) return;
  let offered = 0;
  for (const use of state.classes.values()) {
    offered += decayed(use, now).offered;
  }
  for (const one of waiting) {
    if (one === key) continue;
    const use = useOf(state, one, now);
    const share = use.offered <= FEW_OFFERS
      ? FEW_OFFERS_SHARE
      : OWED_SHARE * use.offered / offered;
    use.credit = Math.min(MAX_CREDIT, use.credit + share);
  }
}

/** Returns the class that is owed most, if any is owed a start. */
export function findOwedClass(
  state: SheddingState,
  waiting: ReadonlySet<ClassKey>,
): ClassKey | undefined {
  let owed: ClassUse | undefined;
  for (const key of waiting) {
    const use = state.classes.get(key);
    if (use === undefined || use.credit < 1) continue;
    if (owed === undefined || use.credit > owed.credit) owed = use;
  }
  return owed?.key;
}

/** Returns the recent use of a class, decayed to `now`. */
export function useOf(
  state: SheddingState,
  key: ClassKey,
  now: MonotonicMs,
): ClassUse {
  let use = state.classes.get(key);
  if (use === undefined) {
    use = { key, slots: 0, offered: 0, at: now, delayMs: 0, credit: 0 };
    state.classes.set(key, use);
  }
  return decayed(use, now);
}

function decayed(use: ClassUse, now: MonotonicMs): ClassUse {
  if (now <= use.at) return use;
  const factor = Math.exp((use.at - now) / USE_DECAY_MS);
  use.slots *= factor;
  use.offered *= factor;
  use.at = now;
  return use;
}
