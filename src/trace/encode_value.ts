/**
 * Writes values as JSON that keeps maps, sets and references to other slices.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";

/** A value that JSON has no form for. */
type Marked =
  | { readonly $map: readonly (readonly [unknown, unknown])[] }
  | { readonly $set: readonly unknown[] }
  | { readonly $number: "Infinity" | "-Infinity" | "NaN" }
  | { readonly $state: string };

/** Options of `encodeValue`. */
export interface EncodeValueOptions {
  readonly value: unknown;
  /** Slice whose state an object is, if it is one. */
  readonly sliceOf: (value: object) => string | undefined;
}

/** Encodes a value as one line of JSON. */
export function encodeValue(opts: EncodeValueOptions): string {
  return JSON.stringify(mark(opts.value, opts.sliceOf));
}

function mark(
  value: unknown,
  sliceOf: EncodeValueOptions["sliceOf"],
): unknown {
  if (typeof value === "number" && !Number.isFinite(value)) {
    return { $number: String(value) };
  }
  if (value === null || typeof value !== "object") return value;
  const slice = sliceOf(value);
  if (slice !== undefined) return { $state: slice };
  const inner = (one: unknown) => mark(one, sliceOf);
  if (Array.isArray(value)) return value.map(inner);
  if (value instanceof Map) {
    return { $map: [...value].map(([key, one]) => [inner(key), inner(one)]) };
  }
  if (value instanceof Set) return { $set: [...value].map(inner) };
  return Object.fromEntries(
    Object.entries(value).map(([key, one]) => [key, inner(one)]),
  );
}

/** Options of `decodeValue`. */
export interface DecodeValueOptions {
  readonly text: string;
  /** Current state of a slice. */
  readonly stateOf: (slice: string) => unknown;
}

/** Decodes what `encodeValue` wrote. */
export function decodeValue(opts: DecodeValueOptions): unknown {
  return JSON.parse(opts.text, (_key, value) => {
    const marked = asMarked(value);
    return marked === undefined ? value : unmark(marked, opts.stateOf);
  });
}

const markers = ["$map", "$set", "$number", "$state"];

function asMarked(value: unknown): Marked | undefined {
  if (value === null || typeof value !== "object") return undefined;
  const keys = Object.keys(value);
  const isMarked = keys.length === 1 && markers.includes(keys[0] ?? "");
  return isMarked ? value as Marked : undefined;
}

function unmark(marked: Marked, stateOf: DecodeValueOptions["stateOf"]) {
  if ("$map" in marked) return new Map(marked.$map);
  if ("$set" in marked) return new Set(marked.$set);
  if ("$number" in marked) return Number(marked.$number);
  if ("$state" in marked) return stateOf(marked.$state);
  return exhausted(marked);
}
