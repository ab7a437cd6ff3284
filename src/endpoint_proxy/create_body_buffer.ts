/**
 * Bodies that are received before their calls ask for a slot.
 * @module
 */
import { Buffer } from "node:buffer";
import type { OfferedCall } from "../calls/state.ts";
import type { MonotonicMs } from "../core/types.ts";

/** Longest body that is gathered, in bytes. A longer one needs its slot first. */
const maxBodyBytes = 1_048_576;

/** Bytes of all bodies that come, or wait for their turn or a slot. */
const maxGatheredBytes = 16_777_216;

/**
 * Bodies that come at once. More of them would share the link, so that all come
 * late and small calls wait behind them.
 */
const maxComing = 3;

/**
 * Time without a byte after which a body that may come gives its turn to the
 * next, in milliseconds. Its sender may be cut off or frozen.
 */
const stalledMs = 500;

/** Weight of the newest time in the mean of its route. */
const newestWeight = 0.2;

/** Options of `createBodyBuffer`. */
export interface CreateBodyBufferOptions {
  readonly now: () => MonotonicMs;
}

/** The body of one call. */
export interface BufferedBody {
  add(chunk: Buffer): void;
  /** Whether every announced byte is here. */
  isWhole(): boolean;
  bytes(): Buffer;
  /** Gives its turn to the next body. */
  endTurn(): void;
  /** Gives its bytes up, and its turn if it still has one. */
  close(): void;
}

export interface BodyBuffer {
  /** Whether the call's body is gathered. Else it has to wait for a slot. */
  fits(call: OfferedCall): boolean;
  /** `onTurn` is called when the body may come, at once where there is room. */
  begin(
    call: OfferedCall,
    onTurn: (body: BufferedBody) => void,
  ): BufferedBody;
  /** Expected time until a body of the route is here, in milliseconds. */
  expectedMs(route: string): number;
  /** Expected time until one that is begun now may come, in milliseconds. */
  turnMs(route: string): number;
  /** Bodies that come or wait for their turn. */
  size(): number;
  /** No further body gets its turn. */
  close(): void;
}

interface Place {
  readonly onTurn: () => void;
  /** Bytes that have come. */
  size: number;
  /** Ends its turn if nothing comes. */
  staller?: NodeJS.Timeout;
}

/** Creates the room for the bodies of one home. */
export function createBodyBuffer(opts: CreateBodyBufferOptions): BodyBuffer {
  const coming = new Set<Place>();
  const waiting = new Set<Place>();
  const stalled = new Set<Place>();
  /** Mean times of bodies by route, from their calls' offers and turns on. */
  const means = {
    offer: new Map<string, number>(),
    turn: new Map<string, number>(),
  };
  let reserved = 0;

  function admit() {
    for (const place of waiting) {
      if (coming.size >= maxComing) return;
      waiting.delete(place);
      coming.add(place);
      watch(place);
      place.onTurn();
    }
  }

  function watch(place: Place) {
    clearTimeout(place.staller);
    place.staller = setTimeout(() => suspect(place), stalledMs);
  }

  /** A node that can't keep up first reads what has come. */
  function suspect(place: Place) {
    const { size } = place;
    setImmediate(() => {
      if (!coming.has(place)) return;
      if (place.size === size) yieldTurn(place);
      else watch(place);
    });
  }

  /** The body may still come, beside those whose turn it is. */
  function yieldTurn(place: Place) {
    coming.delete(place);
    stalled.add(place);
    admit();
  }

  function leave(place: Place) {
    clearTimeout(place.staller);
    const wasHere = coming.delete(place) || waiting.delete(place) ||
      stalled.delete(place);
    if (wasHere) admit();
  }

  function learn(mean: Map<string, number>, route: string, since: number) {
    const tookMs = opts.now() - since;
    const known = mean.get(route) ?? tookMs;
    mean.set(route, known + (tookMs - known) * newestWeight);
  }

  return {
    fits({ body, bodyBytes }) {
      return body === undefined && bodyBytes !== undefined &&
        bodyBytes <= maxBodyBytes && reserved + bodyBytes <= maxGatheredBytes;
    },
    begin({ route, bodyBytes = 0 }, onTurn) {
      const begunAt = opts.now();
      let turnAt = begunAt;
      const chunks: Buffer[] = [];
      let size = 0;
      let isHeld = true;
      const body: BufferedBody = {
        add(chunk) {
          size += chunk.length;
          chunks.push(chunk);
          place.size = size;
          if (coming.has(place)) place.staller?.refresh();
          if (size < bodyBytes) return;
          learn(means.offer, route, begunAt);
          learn(means.turn, route, turnAt);
        },
        isWhole: () => size >= bodyBytes,
        bytes: () => Buffer.concat(chunks, size),
        endTurn: () => leave(place),
        close() {
          if (isHeld) reserved -= bodyBytes;
          isHeld = false;
          leave(place);
        },
      };
      const place: Place = {
        size,
        onTurn() {
          turnAt = opts.now();
          onTurn(body);
        },
      };
      reserved += bodyBytes;
      waiting.add(place);
      admit();
      return body;
    },
    expectedMs: (route) => means.offer.get(route) ?? 0,
    turnMs(route) {
      if (coming.size < maxComing) return 0;
      const turns = (waiting.size + 1) / maxComing;
      return turns * (means.turn.get(route) ?? 0);
    },
    size: () => coming.size + waiting.size + stalled.size,
    close() {
      for (const { staller } of coming) clearTimeout(staller);
      coming.clear();
      waiting.clear();
    },
  };
}
