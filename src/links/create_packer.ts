/**
 * Packs the messages of one direction of a link.
 *
 * Offers and answers repeat header names, hosts and routes. Between failure
 * domains, where bytes are dear, they are compressed against the first messages
 * of the link, which both sides keep as the dictionary.
 * @module
 */
import { Buffer } from "node:buffer";
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { exhausted } from "../core/exhausted.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";
import type { LinkMessage } from "./messages.ts";

/** First byte of a packed message. */
const Frame = {
  Plain: 0,
  /** Plain, and a part of the dictionary. */
  Learned: 1,
  Deflated: 2,
} as const;

/** Size of the dictionary in bytes. Holds some ten messages. */
const dictionaryBytes = 2_048;

/** Larger messages are mostly bodies, which do not repeat. */
const maxDeflatedBytes = 2_048;

/** Largest message that is inflated, in bytes. */
const maxInflatedBytes = 65_536;

/** A window of 4 KiB covers dictionary and message, and is cheap to set up. */
const zlibOptions = { level: 1, windowBits: 12, memLevel: 5 } as const;

/** Options of `createPacker`. */
export interface CreatePackerOptions {
  /** Asked for each message: the peer's domain is known after its hello. */
  readonly isCompressing: () => boolean;
}

export type Packer = (message: LinkMessage) => Buffer;

/** Creates the sending side. */
export function createPacker(opts: CreatePackerOptions): Packer {
  const dictionary = createDictionary();
  return (message) => {
    const bytes = encodeMessage(message);
    const mayDeflate = opts.isCompressing() && isRepetitive(message) &&
      bytes.length <= maxDeflatedBytes;
    if (!mayDeflate) return framed(Frame.Plain, bytes);
    if (!dictionary.isFull()) {
      dictionary.learn(bytes);
      return framed(Frame.Learned, bytes);
    }
    const deflated = deflateRawSync(bytes, {
      ...zlibOptions,
      dictionary: dictionary.bytes(),
    });
    return framed(Frame.Deflated, deflated);
  };
}

/** Throws on bytes that are no message; the link is then closed. */
export type Unpacker = (packed: Buffer) => LinkMessage;

/** Creates the receiving side. */
export function createUnpacker(): Unpacker {
  const dictionary = createDictionary();
  return (packed) => {
    const bytes = packed.subarray(1);
    switch (packed[0]) {
      case Frame.Plain:
        return decodeMessage(bytes);
      case Frame.Learned:
        dictionary.learn(bytes);
        return decodeMessage(bytes);
      case Frame.Deflated:
        return decodeMessage(inflateRawSync(bytes, {
          windowBits: zlibOptions.windowBits,
          maxOutputLength: maxInflatedBytes,
          dictionary: dictionary.bytes(),
        }));
      default:
        throw new TypeError(`no frame has the kind ${String(packed[0])}`);
    }
  };
}

function createDictionary() {
  let known = Buffer.alloc(0);
  return {
    isFull: () => known.length >= dictionaryBytes,
    learn(bytes: Buffer) {
      known = Buffer.concat([known, bytes]).subarray(0, dictionaryBytes);
    },
    bytes: () => known,
  };
}

function framed(frame: number, bytes: Buffer): Buffer {
  const packed = Buffer.allocUnsafe(bytes.length + 1);
  packed[0] = frame;
  bytes.copy(packed, 1);
  return packed;
}

function isRepetitive(message: LinkMessage): boolean {
  switch (message.type) {
    case "offer":
    case "event":
      return true;
    case "body":
    case "body-end":
    case "cancel":
    case "hello":
    case "ping":
    case "pong":
    case "rows":
    case "recall":
    case "ask-rows":
    case "ask-operator":
    case "operator":
    case "move-step":
    case "move-report":
    case "move-fault":
      return false;
    default:
      return exhausted(message);
  }
}
