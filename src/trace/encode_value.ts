/**
 * Encodes values as JSON with maps, sets, infinite numbers, NaN and references
 * to the states of other slices.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";

/** JSON form of a value that JSON can't express. `$state` names a slice. */
type Marked =
  | { readonly $map: readonly (readonly [unknown, unknown])[] }
  | { readonly $set: readonly unknown[] }
  | { readonly $number: "Infinity" | "-Infinity" | "NaN" }
  | { readonly $state: string };

/** Options of `encodeValue`. */
export interface EncodeValueOptions {
  readonly value: unknown;
  /** Returns the slice whose state the object is, if it is one. */
  readonly sliceOf: (value: object) => string | undefined;
}

/** Encodes a value as one line of JSON. */
export function encodeValue(opts: EncodeValueOptions): string {
  return JSON.stringify(encodeMarked(opts.value, opts.sliceOf));
}

function encodeMarked(
  value: unknown,
  sliceOf: EncodeValueOptions["sliceOf"],
): unknown {
  if (typeof value === "number" && !Number.isFinite(value)) {
    return { $number: String(value) };
  }
  if (value === null || typeof value !== "object") return value;
  const slice = sliceOf(value);
  if (slice !== undefined) return { $state: slice };
  const encode = (one: unknown) => encodeMarked(one, sliceOf);
  if (Array.isArray(value)) return value.map(encode);
  if (value instanceof Map) {
    return {
      $map: [...value].map((
        [key, one],
      ) => [encode(key), encode(one)]),
    };
  }
  if (value instanceof Set) return { $set: [...value].map(encode) };
  return Object.fromEntries(
    Object.entries(value).map(([key, one]) => [key, encode(one)]),
  );
}

/** Options of `decodeValue`. */
export interface DecodeValueOptions {
  readonly text: string;
  /** Returns the current state of a slice. */
  readonly stateOf: (slice: string) => unknown;
}

/** Decodes a line that `encodeValue` wrote. */
export function decodeValue(opts: DecodeValueOptions): unknown {
  return JSON.parse(opts.text, (_key, value) => {
    const marked = asMarked(value);
    return marked === undefined ? value : decodeMarked(marked, opts.stateOf);
  });
}

const MARKER_KEYS = ["$map", "$set", "$number", "$state"];

function asMarked(value: unknown): Marked | undefined {
  if (value === null || typeof value !== "object") return undefined;
  const keys = Object.keys(value);
  const isMarked = keys.length === 1 && MARKER_KEYS.includes(keys[0] ?? "");
  return isMarked ? value as Marked : undefined;
}

function decodeMarked(marked: Marked, stateOf: DecodeValueOptions["stateOf"]) {
  if ("$map" in marked) return new Map(marked.$map);
  if ("$set" in marked) return new Set(marked.$set);
  if ("$number" in marked) return Number(marked.$number);
  if ("$state" in marked) return stateOf(marked.$state);
  return exhausted(marked);
}
