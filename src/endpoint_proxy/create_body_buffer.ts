/**
 * Buffers request bodies before their calls request a slot of the endpoint.
 *
 * A call holds an upload slot while its sender transmits the body. Upload slots
 * limit how many bodies are transmitted concurrently; they differ from the
 * endpoint's slots, which limit how many calls it runs.
 * @module
 */
import { Buffer } from "node:buffer";
import type { OfferedCall } from "../calls/state.ts";
import type { MonotonicMs } from "../core/types.ts";

/**
 * Maximum size of a buffered body, in bytes. A call with a longer body gets a
 * slot of the endpoint first and streams the body to it.
 */
const MAX_BODY_BYTES = 1_048_576;

/**
 * Limit for the total size of all buffered bodies, in bytes: those that are
 * being received, and those that wait for an upload slot or a slot of the
 * endpoint.
 */
const MAX_BUFFERED_BYTES = 16_777_216;

/**
 * Maximum number of bodies that are received concurrently. More would share the
 * link's bandwidth, so that all would arrive late and small calls would wait
 * behind them.
 */
const MAX_UPLOADS = 3;

/**
 * Time without a byte after which a body loses its upload slot, in
 * milliseconds. Its sender may be disconnected or frozen.
 */
const STALL_TIMEOUT_MS = 500;

/** Weight of the newest time in the moving average of its route. */
const NEWEST_WEIGHT = 0.2;

/** Options of `createBodyBuffer`. */
export interface CreateBodyBufferOptions {
  readonly now: () => MonotonicMs;
}

/** The buffered body of one call. */
export interface BufferedBody {
  add(chunk: Buffer): void;
  /** Whether the body has reached its declared length. */
  isComplete(): boolean;
  bytes(): Buffer;
  /** Passes the upload slot to the next body. */
  releaseUploadSlot(): void;
  /**
   * Frees the reserved bytes, and the upload slot if the body still has one.
   */
  close(): void;
}

export interface BodyBuffer {
  /** Whether the call's body can be buffered before the call has a slot. */
  fits(call: OfferedCall): boolean;
  /**
   * Reserves memory for the call's body. `onUploadSlot` is called when the
   * sender may transmit it, synchronously if an upload slot is free.
   */
  begin(
    call: OfferedCall,
    onUploadSlot: (body: BufferedBody) => void,
  ): BufferedBody;
  /**
   * Average time from `begin` until a body of the route is complete, in
   * milliseconds.
   */
  expectedMs(route: string): number;
  /** Expected wait of a new body for an upload slot, in milliseconds. */
  uploadWaitMs(route: string): number;
  /** Number of bodies that are being received or wait for an upload slot. */
  size(): number;
  /**
   * Drops all uploads that wait or have an upload slot, and stops their timers.
   */
  close(): void;
}

/** A body that waits for an upload slot or is being received. */
interface Upload {
  readonly onUploadSlot: () => void;
  /** Bytes received so far. */
  size: number;
  /** Checks after `STALL_TIMEOUT_MS` whether a byte has come. */
  stallTimer?: NodeJS.Timeout;
}

/** Creates the buffer for the bodies of one endpoint's calls. */
export function createBodyBuffer(opts: CreateBodyBufferOptions): BodyBuffer {
  const uploading = new Set<Upload>();
  const waiting = new Set<Upload>();
  /** Uploads that lost their upload slot and may still complete. */
  const stalled = new Set<Upload>();
  /**
   * Moving averages of the time until a body is complete, by route: from
   * `begin` and from the grant of the upload slot.
   */
  const means = {
    sinceBegin: new Map<string, number>(),
    sinceSlot: new Map<string, number>(),
  };
  let reservedBytes = 0;

  function admit() {
    for (const upload of waiting) {
      if (uploading.size >= MAX_UPLOADS) return;
      waiting.delete(upload);
      uploading.add(upload);
      watch(upload);
      upload.onUploadSlot();
    }
  }

  function watch(upload: Upload) {
    clearTimeout(upload.stallTimer);
    upload.stallTimer = setTimeout(() => checkStall(upload), STALL_TIMEOUT_MS);
  }

  /**
   * Checks for a stall after the bytes that have already arrived are read: an
   * overloaded node may handle the timer before them.
   */
  function checkStall(upload: Upload) {
    const { size } = upload;
    setImmediate(() => {
      if (!uploading.has(upload)) return;
      if (upload.size === size) releaseStalled(upload);
      else watch(upload);
    });
  }

  /**
   * Passes on the upload slot of a stalled body. The body may still be
   * received, in addition to those with a slot.
   */
  function releaseStalled(upload: Upload) {
    uploading.delete(upload);
    stalled.add(upload);
    admit();
  }

  function remove(upload: Upload) {
    clearTimeout(upload.stallTimer);
    const wasKnown = uploading.delete(upload) || waiting.delete(upload) ||
      stalled.delete(upload);
    if (wasKnown) admit();
  }

  function recordTime(
    times: Map<string, number>,
    route: string,
    since: number,
  ) {
    const tookMs = opts.now() - since;
    const known = times.get(route) ?? tookMs;
    times.set(route, known + (tookMs - known) * NEWEST_WEIGHT);
  }

  return {
    fits({ body, bodyBytes }) {
      return body === undefined && bodyBytes !== undefined &&
        bodyBytes <= MAX_BODY_BYTES &&
        reservedBytes + bodyBytes <= MAX_BUFFERED_BYTES;
    },
    begin({ route, bodyBytes = 0 }, onUploadSlot) {
      const begunAt = opts.now();
      let slotAt = begunAt;
      const chunks: Buffer[] = [];
      let size = 0;
      let isReserved = true;
      const body: BufferedBody = {
        add(chunk) {
          size += chunk.length;
          chunks.push(chunk);
          upload.size = size;
          if (uploading.has(upload)) upload.stallTimer?.refresh();
          if (size < bodyBytes) return;
          recordTime(means.sinceBegin, route, begunAt);
          recordTime(means.sinceSlot, route, slotAt);
        },
        isComplete: () => size >= bodyBytes,
        bytes: () => Buffer.concat(chunks, size),
        releaseUploadSlot: () => remove(upload),
        close() {
          if (isReserved) reservedBytes -= bodyBytes;
          isReserved = false;
          remove(upload);
        },
      };
      const upload: Upload = {
        size,
        onUploadSlot() {
          slotAt = opts.now();
          onUploadSlot(body);
        },
      };
      reservedBytes += bodyBytes;
      waiting.add(upload);
      admit();
      return body;
    },
    expectedMs: (route) => means.sinceBegin.get(route) ?? 0,
    uploadWaitMs(route) {
      if (uploading.size < MAX_UPLOADS) return 0;
      const rounds = (waiting.size + 1) / MAX_UPLOADS;
      return rounds * (means.sinceSlot.get(route) ?? 0);
    },
    size: () => uploading.size + waiting.size + stalled.size,
    close() {
      for (const { stallTimer } of uploading) clearTimeout(stallTimer);
      uploading.clear();
      waiting.clear();
    },
  };
}
