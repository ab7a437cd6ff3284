/**
 * Records decisions as lines of a trace.
 * @module
 */
import { encodeValue } from "./encode_value.ts";
import { TRACE_FORMAT, type TraceLine } from "./messages.ts";

/** Options of `createRecorder`. */
export interface CreateRecorderOptions {
  readonly node: string;
  readonly binary: string;
  /** Writes a line, which is given without a line break. */
  readonly write: (line: string) => void;
  /** Recording stops after this many characters. */
  readonly maxLength: number;
}

/** Decision function of a slice: changes `state`, returns the effects. */
export type Decide<State, Event, Effects extends readonly unknown[]> = (
  state: State,
  event: Event,
) => Effects;

export interface Recorder {
  /** Records the options of a slice's new state, and returns the state. */
  created<State extends object>(
    slice: string,
    options: unknown,
    state: State,
  ): State;
  /** Registers a new state object of a slice, for references from events. */
  replaced(slice: string, state: object): void;
  /** Wraps a decision function so that its events and effects are recorded. */
  traced<State, Event, Effects extends readonly unknown[]>(
    slice: string,
    decide: Decide<State, Event, Effects>,
  ): Decide<State, Event, Effects>;
}

/** A recorder that records nothing and does not wrap decisions. */
export const NOOP_RECORDER: Recorder = {
  created: (_slice, _options, state) => state,
  replaced: () => {},
  traced: (_slice, decide) => decide,
};

/** Creates a recorder and writes the trace's header. */
export function createRecorder(opts: CreateRecorderOptions): Recorder {
  const sliceOfState = new Map<object, string>();
  const sliceOf = (value: object) => sliceOfState.get(value);
  let remainingLength = opts.maxLength;

  function write(line: TraceLine) {
    if (remainingLength <= 0) return;
    const text = encodeValue({ value: line, sliceOf });
    remainingLength -= text.length;
    opts.write(text);
  }

  function replaced(slice: string, state: object) {
    for (const [old, name] of sliceOfState) {
      if (name === slice) sliceOfState.delete(old);
    }
    sliceOfState.set(state, slice);
  }

  const { node, binary } = opts;
  write({ type: "header", format: TRACE_FORMAT, node, binary });
  return {
    created(slice, options, state) {
      replaced(slice, state);
      write({ type: "created", slice, options });
      return state;
    },
    replaced,
    traced: (slice, decide) => (state, event) => {
      const effects = decide(state, event);
      write({ type: "decided", slice, event, effects });
      return effects;
    },
  };
}
