/**
 * Replays a trace through the same decisions and compares what they decide.
 * @module
 */
import { isDeepStrictEqual } from "node:util";
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import { decodeValue, encodeValue } from "./encode_value.ts";
import { traceFormat, type TraceLine } from "./messages.ts";

/** How the replay creates and drives one slice. */
export interface ReplaySlice {
  readonly create: (options: never) => object;
  readonly decide: (state: never, event: never) => readonly unknown[];
  /** State after an event that replaced it whole, if it did. */
  readonly replacement?: (state: never, event: never) => object | undefined;
}

/** One decision as the replay saw it. */
export interface ReplayedDecision {
  /** Line of the trace, from 1. */
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
  /** Sees every decision, for checks of outcomes. */
  readonly onDecision: (decision: ReplayedDecision) => void;
}

/** Replays all lines. Fails at the first event decided otherwise. */
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
      if (line.format !== traceFormat) {
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
      if (!isSame(effects, line.effects)) {
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

/** JSON drops undefined fields, so both sides are compared as written. */
function isSame(effects: readonly unknown[], recorded: unknown): boolean {
  return isDeepStrictEqual(asWritten(effects), asWritten(recorded));
}

function asWritten(value: unknown): unknown {
  return JSON.parse(encodeValue({ value, sliceOf: () => undefined }));
}

function divergence(
  opts: ReplayTraceOptions,
  number: number,
  line: Extract<TraceLine, { type: "decided" }>,
  effects: readonly unknown[],
): LagoonError {
  const tell = (value: unknown) =>
    encodeValue({ value, sliceOf: () => undefined }).slice(0, 500);
  const message = `${line.slice} decided otherwise on ${tell(line.event)}: ` +
    `recorded ${tell(line.effects)}, replayed ${tell(effects)}`;
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
