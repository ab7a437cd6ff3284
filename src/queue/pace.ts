/**
 * Pace of the endpoint's VM: how long runs take there now, as a multiple of
 * their usual time on that VM.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";

/**
 * Time after which the deviation of a stated pace from the usual one is halved,
 * in milliseconds. VMs change their pace about every 600 ms, so a pace that is
 * read at a random moment holds for 300 ms on average. With an exponential
 * decay, a node that receives the decayed pace continues the decay without
 * knowing the pace's first age.
 */
const PACE_HALF_LIFE_MS = 300 * Math.LN2;

/**
 * Time over which the usual pace of a VM is averaged, in milliseconds, and the
 * weight of the assumption that it is 1. A VM that is always slow states so in
 * each answer. Its run times are learned as they are, and nothing decays.
 */
const MEAN_PACE_MS = 15_000;
const INITIAL_MEAN_MS = 2_000;

/** Time between two answers from which the pace between them is unknown. */
const MAX_HELD_MS = 600;

/** Deviation from the usual pace below which the pace is not reported. */
const MIN_REPORTED_DEVIATION = 0.05;

/** The pace as last stated, and the work done until then. */
export interface Pace {
  /** 1 is the usual pace of the VM; 2 if runs take twice as long. */
  factor: number;
  /** Mean of the stated paces. */
  mean: number;
  /** Time over which the mean is taken, in milliseconds. */
  meanMs: number;
  statedAt: MonotonicMs;
  /**
   * Time that work done until `statedAt` takes at the usual pace, in
   * milliseconds. Only differences of it are used.
   */
  usualMs: number;
}

export function createPace(): Pace {
  return {
    factor: 1,
    mean: 1,
    meanMs: INITIAL_MEAN_MS,
    statedAt: 0,
    usualMs: 0,
  };
}

/** Returns a pace that was `factor` some time ago. Decays to the usual one. */
export function decayPace(factor: number, ageMs: number): number {
  if (factor === 1) return 1;
  return 1 + (factor - 1) * 0.5 ** (Math.max(0, ageMs) / PACE_HALF_LIFE_MS);
}

/** Returns the expected pace at `now`. */
export function paceAt(pace: Pace, now: MonotonicMs): number {
  return decayPace(pace.factor, now - pace.statedAt);
}

/** Records a pace that the endpoint stated in an answer. */
export function recordPace(pace: Pace, stated: number, now: MonotonicMs) {
  const gapMs = now - pace.statedAt;
  const heldMs = gapMs < MAX_HELD_MS ? gapMs : 0;
  pace.usualMs = usualTimeAt(pace, now);
  pace.meanMs = Math.min(MEAN_PACE_MS, pace.meanMs + heldMs);
  pace.mean += (stated - pace.mean) * heldMs / pace.meanMs;
  pace.factor = stated / pace.mean;
  pace.statedAt = now;
}

/**
 * Returns a clock that runs at the pace of the VM. The difference between a
 * run's end and its start is the run's time at the usual pace, also if the pace
 * changed during the run.
 */
export function usualTimeAt(pace: Pace, now: MonotonicMs): number {
  const ageMs = now - pace.statedAt;
  // Midpoint rule: answers are much closer to each other than the half-life.
  return pace.usualMs + ageMs / decayPace(pace.factor, ageMs / 2);
}

/** Returns the pace for reports, in percent; undefined if it is the usual. */
export function pacePercentAt(
  pace: Pace,
  now: MonotonicMs,
): number | undefined {
  const factor = paceAt(pace, now);
  return Math.abs(factor - 1) < MIN_REPORTED_DEVIATION
    ? undefined
    : Math.round(factor * 100);
}
