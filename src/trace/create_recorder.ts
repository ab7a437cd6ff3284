/**
 * Records decisions as lines of a trace.
 * @module
 */
import { encodeValue } from "./encode_value.ts";
import { traceFormat, type TraceLine } from "./messages.ts";

/** Options of `createRecorder`. */
export interface CreateRecorderOptions {
  readonly node: string;
  readonly binary: string;
  /** Takes one line without its end. */
  readonly write: (line: string) => void;
  /** Recording stops after this many characters. */
  readonly maxLength: number;
}

/** A decision of a slice. */
export type Decide<State, Event, Effects extends readonly unknown[]> = (
  state: State,
  event: Event,
) => Effects;

export interface Recorder {
  /** Notes the creation of a slice's state, and returns the state. */
  created<State extends object>(
    slice: string,
    options: unknown,
    state: State,
  ): State;
  /** Replaces the state that other slices' events refer to. */
  replaced(slice: string, state: object): void;
  /** Wraps a decision, so that its events and effects are noted. */
  traced<State, Event, Effects extends readonly unknown[]>(
    slice: string,
    decide: Decide<State, Event, Effects>,
  ): Decide<State, Event, Effects>;
}

/** A recorder that notes nothing. */
export const NOOP_RECORDER: Recorder = {
  created: (_slice, _options, state) => state,
  replaced: () => {},
  traced: (_slice, decide) => decide,
};

/** Creates a recorder and writes the trace's header. */
export function createRecorder(opts: CreateRecorderOptions): Recorder {
  const sliceOfState = new Map<object, string>();
  const sliceOf = (value: object) => sliceOfState.get(value);
  let left = opts.maxLength;

  function write(line: TraceLine) {
    if (left <= 0) return;
    const text = encodeValue({ value: line, sliceOf });
    left -= text.length;
    opts.write(text);
  }

  function replaced(slice: string, state: object) {
    for (const [old, name] of sliceOfState) {
      if (name === slice) sliceOfState.delete(old);
    }
    sliceOfState.set(state, slice);
  }

  const { node, binary } = opts;
  write({ type: "header", format: traceFormat, node, binary });
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
