/**
 * Packs the messages of one direction of a link.
 *
 * Calls and answers repeat header names, hosts and routes. Between failure
 * domains, where traffic is expensive, they are compressed with a dictionary of
 * the first messages of the link, which both sides keep.
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
  /** Uncompressed. Both sides append the message to the dictionary. */
  AddedToDictionary: 1,
  Deflated: 2,
} as const;

/** Size of the dictionary, in bytes. It holds about ten messages. */
const DICTIONARY_BYTES = 2_048;

/**
 * Size up to which a message is compressed, in bytes. Larger messages are
 * mostly bodies, which do not repeat.
 */
const MAX_DEFLATED_BYTES = 2_048;

/** Limit for the size of a decompressed message, in bytes. */
const MAX_INFLATED_BYTES = 65_536;

/**
 * A window of 4 KiB covers dictionary and message, and is cheap to allocate.
 */
const ZLIB_OPTIONS = { level: 1, windowBits: 12, memLevel: 5 } as const;

/** Options of `createPacker`. */
export interface CreatePackerOptions {
  /**
   * Whether the next message is compressed. Called for each message, since the
   * peer's failure domain is known only after its hello.
   */
  readonly isCompressing: () => boolean;
}

export type Packer = (message: LinkMessage) => Buffer;

/** Creates the packer of the sending side. */
export function createPacker(opts: CreatePackerOptions): Packer {
  const dictionary = createDictionary();
  return (message) => {
    const bytes = encodeMessage(message);
    const mayDeflate = opts.isCompressing() && isRepetitive(message) &&
      bytes.length <= MAX_DEFLATED_BYTES;
    if (!mayDeflate) return framed(Frame.Plain, bytes);
    if (!dictionary.isFull()) {
      dictionary.add(bytes);
      return framed(Frame.AddedToDictionary, bytes);
    }
    const deflated = deflateRawSync(bytes, {
      ...ZLIB_OPTIONS,
      dictionary: dictionary.bytes(),
    });
    return framed(Frame.Deflated, deflated);
  };
}

/** Throws on malformed bytes. The caller then closes the link. */
export type Unpacker = (packed: Buffer) => LinkMessage;

/** Creates the unpacker of the receiving side. */
export function createUnpacker(): Unpacker {
  const dictionary = createDictionary();
  return (packed) => {
    const bytes = packed.subarray(1);
    switch (packed[0]) {
      case Frame.Plain:
        return decodeMessage(bytes);
      case Frame.AddedToDictionary:
        dictionary.add(bytes);
        return decodeMessage(bytes);
      case Frame.Deflated:
        return decodeMessage(inflateRawSync(bytes, {
          windowBits: ZLIB_OPTIONS.windowBits,
          maxOutputLength: MAX_INFLATED_BYTES,
          dictionary: dictionary.bytes(),
        }));
      default:
        throw new TypeError(`no frame has the kind ${String(packed[0])}`);
    }
  };
}

function createDictionary() {
  let content = Buffer.alloc(0);
  return {
    isFull: () => content.length >= DICTIONARY_BYTES,
    add(bytes: Buffer) {
      content = Buffer.concat([content, bytes]).subarray(0, DICTIONARY_BYTES);
    },
    bytes: () => content,
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
    case "limit-answer":
    case "hello":
    case "ping":
    case "pong":
    case "rows":
    case "lost":
    case "digest":
    case "beats":
    case "recall":
    case "ask-rows":
    case "ask-operator":
    case "operator":
    case "move-step":
    case "move-report":
    case "move-fault":
    case "quarantine/rows":
    case "allowance/join":
    case "allowance/beat":
    case "allowance/lease":
    case "allowance/ask":
    case "allowance/grant":
      return false;
    default:
      return exhausted(message);
  }
}
