/**
 * Chooses waiting calls that make room for a more urgent call.
 * @module
 */
import type { ShedCall } from "./state.ts";

/** A waiting call that could be displaced. */
export interface WaitingCall<Call extends ShedCall> {
  readonly call: Call;
  /** Calls of a higher one give way to those of a lower one. */
  readonly precedence: number;
  /** Expected run time, in milliseconds. */
  readonly runMs: number;
  readonly isTimely: boolean;
}

/** Options of `chooseDisplaced`. */
export interface ChooseDisplacedOptions<Call extends ShedCall> {
  /** Precedence of the call that needs room. */
  readonly precedence: number;
  /** Waiting calls that are ahead of it. */
  readonly ahead: readonly WaitingCall<Call>[];
  /** Slot time that has to be freed, in milliseconds. */
  readonly neededMs: number;
}

/**
 * Returns the waiting calls whose refusal frees the slot time at the least loss
 * to their callers, or none if they don't suffice. Only calls of a higher
 * precedence are chosen, from the highest on: first those that miss their
 * objective, then those that need the most slot time. One call of each
 * precedence stays, so that none is emptied by a stream of others.
 */
export function chooseDisplaced<Call extends ShedCall>(
  opts: ChooseDisplacedOptions<Call>,
): readonly Call[] {
  const counts = new Map<number, number>();
  const victims = opts.ahead.filter(({ call, precedence }) => {
    if (precedence <= opts.precedence || call.isNested) return false;
    const count = counts.get(precedence) ?? 0;
    counts.set(precedence, count + 1);
    return count > 0;
  }).toSorted((a, b) =>
    b.precedence - a.precedence ||
    Number(a.isTimely) - Number(b.isTimely) || b.runMs - a.runMs
  );
  const chosen: Call[] = [];
  let freedMs = 0;
  for (const { call, runMs } of victims) {
    if (freedMs >= opts.neededMs) break;
    chosen.push(call);
    freedMs += runMs;
  }
  return freedMs >= opts.neededMs ? chosen : [];
}
