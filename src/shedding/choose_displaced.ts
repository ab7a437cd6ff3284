/**
 * Chooses waiting calls that make room for a more urgent call.
 * @module
 */
import { classOf, NESTED_CLASS } from "./class_of.ts";
import type { ClassKey, ShedCall } from "./state.ts";

/** A waiting call that could be displaced. */
export interface WaitingCall<Call extends ShedCall> {
  readonly call: Call;
  /** Expected run time, in milliseconds. */
  readonly runMs: number;
  readonly isTimely: boolean;
}

/** Options of `chooseDisplaced`. */
export interface ChooseDisplacedOptions<Call extends ShedCall> {
  /** The call that needs room. */
  readonly call: ShedCall;
  /** Waiting calls that are ahead of it. */
  readonly ahead: readonly WaitingCall<Call>[];
  /** Slot time that has to be freed, in milliseconds. */
  readonly neededMs: number;
}

/**
 * Returns the waiting calls whose refusal frees the slot time at the least loss
 * to their callers, or none if they don't suffice. Only calls of less urgent
 * classes are chosen, from the least urgent on: first those that miss their
 * objective, then those that need the most slot time. One call of each class
 * stays, so that no class is emptied by a stream of more urgent calls.
 */
export function chooseDisplaced<Call extends ShedCall>(
  opts: ChooseDisplacedOptions<Call>,
): readonly Call[] {
  const own = classOf(opts.call);
  const counts = new Map<ClassKey, number>();
  const victims = opts.ahead.filter(({ call }) => {
    const key = classOf(call);
    if (key <= own || key === NESTED_CLASS) return false;
    const count = counts.get(key) ?? 0;
    counts.set(key, count + 1);
    return count > 0;
  }).toSorted((a, b) =>
    classOf(b.call) - classOf(a.call) ||
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
