/**
 * Encodes values as JSON with maps, sets, infinite numbers, NaN and references
 * to the states of other slices.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";

/** JSON form of a value that JSON can't express. `$state` names a slice. */
type TaggedJson =
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
  return JSON.stringify(toTaggedJson(opts.value, opts.sliceOf));
}

function toTaggedJson(
  value: unknown,
  sliceOf: EncodeValueOptions["sliceOf"],
): unknown {
  if (typeof value === "number" && !Number.isFinite(value)) {
    return { $number: String(value) };
  }
  if (value === null || typeof value !== "object") return value;
  const slice = sliceOf(value);
  if (slice !== undefined) return { $state: slice };
  const encode = (one: unknown) => toTaggedJson(one, sliceOf);
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
    const tagged = asTaggedJson(value);
    return tagged === undefined ? value : fromTaggedJson(tagged, opts.stateOf);
  });
}

const TAG_KEYS = ["$map", "$set", "$number", "$state"];

function asTaggedJson(value: unknown): TaggedJson | undefined {
  if (value === null || typeof value !== "object") return undefined;
  const keys = Object.keys(value);
  const isTagged = keys.length === 1 && TAG_KEYS.includes(keys[0] ?? "");
  return isTagged ? value as TaggedJson : undefined;
}

function fromTaggedJson(
  tagged: TaggedJson,
  stateOf: DecodeValueOptions["stateOf"],
) {
  if ("$map" in tagged) return new Map(tagged.$map);
  if ("$set" in tagged) return new Set(tagged.$set);
  if ("$number" in tagged) return Number(tagged.$number);
  if ("$state" in tagged) return stateOf(tagged.$state);
  return exhausted(tagged);
}
