/**
 * Bodies that are received before their calls ask for a slot.
 * @module
 */
import { Buffer } from "node:buffer";
import type { OfferedCall } from "../calls/state.ts";

/** Longest body that is gathered, in bytes. A longer one needs its slot first. */
const maxBodyBytes = 1_048_576;

/** Bytes of all bodies that are gathered at once. */
const maxGatheredBytes = 16_777_216;

/** The body of one call while it comes. */
export interface GatheredBody {
  add(chunk: Buffer): void;
  /** Whether every announced byte is here. */
  isWhole(): boolean;
  bytes(): Buffer;
  /** Frees its room. */
  close(): void;
}

export interface Gathering {
  /** Returns undefined when the call's body has to wait for a slot. */
  begin(call: OfferedCall): GatheredBody | undefined;
}

/** Creates the room for the bodies of one home. */
export function createGathering(): Gathering {
  let reserved = 0;
  return {
    begin({ body, bodyBytes }) {
      if (body !== undefined || bodyBytes === undefined) return undefined;
      if (bodyBytes > maxBodyBytes) return undefined;
      if (reserved + bodyBytes > maxGatheredBytes) return undefined;
      reserved += bodyBytes;
      const chunks: Buffer[] = [];
      let size = 0;
      let isClosed = false;
      return {
        add(chunk) {
          size += chunk.length;
          chunks.push(chunk);
        },
        isWhole: () => size >= bodyBytes,
        bytes: () => Buffer.concat(chunks, size),
        close() {
          if (!isClosed) reserved -= bodyBytes;
          isClosed = true;
        },
      };
    },
  };
}
