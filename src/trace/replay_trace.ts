/**
 * Replays the events of a trace and compares the effects with those recorded.
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import { decodeValue, encodeValue } from "./encode_value.ts";
import { TRACE_FORMAT, type TraceLine } from "./messages.ts";

/** Functions that create a slice's state and run its decisions. */
export interface ReplaySlice {
  readonly create: (options: never) => object;
  readonly decide: (state: never, event: never) => readonly unknown[];
  /** Returns the new state if the event, such as a snapshot, replaced it. */
  readonly replacement?: (state: never, event: never) => object | undefined;
}

/** A replayed decision with its event, effects and the state after it. */
export interface ReplayedDecision {
  /** Line number in the trace, from 1. */
  readonly line: number;
  readonly slice: string;
  readonly event: unknown;
  readonly effects: readonly unknown[];
  readonly state: object;
}

/** Options of `replayTrace`. */
export interface ReplayTraceOptions {
  readonly file: string;
  readonly lines: readonly string[];
  readonly slices: Readonly<Record<string, ReplaySlice>>;
  /** Called at the start of each node's recording. */
  readonly onRecording?: (node: string) => void;
  /** Called after every decision, for the checks of outcomes. */
  readonly onDecision: (decision: ReplayedDecision) => void;
}

/**
 * Replays all lines and returns the number of decisions. Fails at the first
 * decision whose effects differ from the recorded ones.
 */
export function replayTrace(
  opts: ReplayTraceOptions,
): Result<number, LagoonError> {
  const states = new Map<string, object>();
  let decisions = 0;
  for (const [index, text] of opts.lines.entries()) {
    const line = decodeValue({ text, stateOf: (name) => states.get(name) });
    const replayed = replayLine(opts, states, index + 1, line as TraceLine);
    if (replayed.isErr()) return err(replayed.error);
    decisions += replayed.value;
  }
  return ok(decisions);
}

function replayLine(
  opts: ReplayTraceOptions,
  states: Map<string, object>,
  number: number,
  line: TraceLine,
): Result<number, LagoonError> {
  switch (line.type) {
    case "header":
      if (line.format !== TRACE_FORMAT) {
        return err(
          traceError(opts, number, `format ${line.format} is unknown`),
        );
      }
      states.clear();
      opts.onRecording?.(line.node);
      return ok(0);
    case "created": {
      const slice = opts.slices[line.slice];
      if (slice === undefined) return err(unknownSlice(opts, number, line));
      states.set(line.slice, slice.create(line.options as never));
      return ok(0);
    }
    case "decided": {
      const slice = opts.slices[line.slice];
      const state = states.get(line.slice);
      if (slice === undefined || state === undefined) {
        return err(unknownSlice(opts, number, line));
      }
      const effects = slice.decide(state as never, line.event as never);
      if (!hasSameEncoding(effects, line.effects)) {
        return err(divergence(opts, number, line, effects));
      }
      const { event } = line;
      const next = slice.replacement?.(state as never, event as never);
      if (next !== undefined) states.set(line.slice, next);
      opts.onDecision({
        line: number,
        slice: line.slice,
        event,
        effects,
        state: next ?? state,
      });
      return ok(1);
    }
    default:
      return exhausted(line);
  }
}

/** Compares both sides as encoded, since JSON drops undefined fields. */
function hasSameEncoding(
  effects: readonly unknown[],
  recorded: unknown,
): boolean {
  return isDeepStrictEqual(roundTrip(effects), roundTrip(recorded));
}

function roundTrip(value: unknown): unknown {
  return JSON.parse(encodeValue({ value, sliceOf: () => undefined }));
}

function divergence(
  opts: ReplayTraceOptions,
  number: number,
  line: Extract<TraceLine, { type: "decided" }>,
  effects: readonly unknown[],
): LagoonError {
  const excerpt = (value: unknown) =>
    encodeValue({ value, sliceOf: () => undefined }).slice(0, 500);
  const message =
    `${line.slice} decided otherwise on ${excerpt(line.event)}: ` +
    `recorded ${excerpt(line.effects)}, replayed ${excerpt(effects)}`;
  return traceError(opts, number, message);
}

function unknownSlice(
  opts: ReplayTraceOptions,
  number: number,
  line: { readonly slice: string },
): LagoonError {
  return traceError(opts, number, `slice ${line.slice} was not created`);
}

function traceError(
  opts: ReplayTraceOptions,
  number: number,
  message: string,
): LagoonError {
  return {
    code: "LAGOON_TRACE_DIVERGED",
    step: `replay ${opts.file}:${number}`,
    message,
    hint: "Record the trace again if the decision was meant to change.",
  };
}
