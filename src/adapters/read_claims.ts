/**
 * Follows the claim stream in the log and appends to it, while this node is a
 * claim reader of its failure domain.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import createDebug from "debug";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type { NodeId, Offset } from "../core/types.ts";
import {
  createClaimReaderState,
  decideClaimReader,
} from "../idempotency/decide_claim_reader.ts";
import { parseBatch } from "../idempotency/fold_batch.ts";
import {
  CLAIMS_STREAM,
  type ClaimStreamItem,
  type ClaimVerdict,
  type IdempotencyMessage,
} from "../idempotency/messages.ts";
import type {
  ClaimReaderEffect,
  ClaimReaderEvent,
} from "../idempotency/state.ts";
import { TraceSlice } from "../trace/messages.ts";
import type { ControlContext } from "./control_context.ts";
import { followLog, type LogFollower } from "./follow_log.ts";
import type { LogClient } from "./log_client.ts";

const logger = createDebug("lagoon:once");

/** Time during which claims are collected into one append. */
const APPEND_DELAY_MS = 5;
/** Delay between attempts to find the start of the stream. */
const RETRY_DELAY_MS = 500;

/** Options of `readClaims`. */
export interface ReadClaimsOptions {
  readonly context: ControlContext;
  readonly log: LogClient;
  readonly send: (to: NodeId, message: IdempotencyMessage) => void;
}

export interface ClaimReader {
  receive(
    from: NodeId,
    message: Extract<
      IdempotencyMessage,
      { type: "once/claim" | "once/finish" }
    >,
  ): void;
  tick(): void;
  close(): void;
}

/** Readers started in this process: makes writer names unique. */
let readerCount = 0;

/** Starts reading at the oldest record that the log keeps. */
export function readClaims(opts: ReadClaimsOptions): ClaimReader {
  const { context, log, send } = opts;
  const { loop, now, self, recorder } = context;
  const writer = `${self.id}/${self.boot}/${readerCount++}`;
  const state = recorder.created(
    TraceSlice.ClaimReader,
    writer,
    createClaimReaderState(writer),
  );
  const decide = recorder.traced(TraceSlice.ClaimReader, decideClaimReader);
  const stopped = new AbortController();
  const pendingReads = new Map<Offset, Promise<readonly ClaimStreamItem[]>>();
  let follower: LogFollower | undefined;
  let timer: NodeJS.Timeout | undefined;

  function run(event: ClaimReaderEvent) {
    if (stopped.signal.aborted) return;
    for (const effect of decide(state, event)) apply(effect);
    schedule();
  }

  const post = (event: ClaimReaderEvent) =>
    new Promise<void>((resolve) => {
      loop.post(Priority.Config, () => {
        resolve();
        run(event);
      });
    });

  function apply(effect: ClaimReaderEffect) {
    switch (effect.type) {
      case "send":
        return send(effect.to, effect.message);
      case "append":
        append(effect.body);
        return;
      case "tell-outcome":
        sendOutcome(effect);
        return;
      default:
        exhausted(effect);
    }
  }

  async function append(body: string) {
    const reply = await log.append(CLAIMS_STREAM, [body]);
    if (reply.isErr()) logger("%s", formatError(reply.error));
    await post(
      reply.isOk()
        ? { type: "appended", now: now() }
        : { type: "append-failed", now: now(), random: Math.random() },
    );
  }

  /** Resends that wait for the same record share one read of the log. */
  function readItems(offset: Offset): Promise<readonly ClaimStreamItem[]> {
    const items = log.read({
      stream: CLAIMS_STREAM,
      from: offset,
      waitMs: 0,
      max: 1,
    })
      .then((page) => {
        pendingReads.delete(offset);
        const record = page.isOk() ? page.value.records[0] : undefined;
        if (record === undefined) return [];
        return parseBatch(record.body).map((one) => one.items).unwrapOr([]);
      });
    pendingReads.set(offset, items);
    return items;
  }

  /** Reads the outcome from the log: no answer bodies are kept in memory. */
  async function sendOutcome(
    effect: Extract<ClaimReaderEffect, { type: "tell-outcome" }>,
  ) {
    const { to, attempt, key, offset } = effect;
    const items = await (pendingReads.get(offset) ?? readItems(offset));
    const item = items.find((one) => one.type === "outcome" && one.key === key);
    const verdict: ClaimVerdict = item?.type === "outcome"
      ? { type: "done", outcome: item.outcome }
      : { type: "held", isLive: true };
    loop.post(
      Priority.Config,
      () => send(to, { type: "once/verdict", attempt, verdict }),
    );
  }

  function schedule() {
    const isWaiting = state.pending.length > 0 && state.sent === undefined;
    if (!isWaiting || timer !== undefined) return;
    timer = setTimeout(() => {
      timer = undefined;
      post({ type: "ticked", now: now() });
    }, APPEND_DELAY_MS);
  }

  /**
   * Starts the decision at the oldest offset that the log keeps. A read past
   * the end returns that offset without any record.
   */
  async function start() {
    while (!stopped.signal.aborted) {
      const page = await log.read({
        stream: CLAIMS_STREAM,
        from: Number.MAX_SAFE_INTEGER,
        waitMs: 0,
      });
      if (page.isOk()) {
        await post({ type: "gone", oldest: page.value.oldest });
        await post({ type: "ticked", now: now() });
        return;
      }
      const { signal } = stopped;
      await sleep(RETRY_DELAY_MS, undefined, { signal }).catch(() => {});
    }
  }

  async function follow() {
    await start();
    if (stopped.signal.aborted) return;
    follower = followLog({
      log,
      stream: CLAIMS_STREAM,
      next: () => state.claims.next,
      onPage: ({ records, oldest }) =>
        post({ type: "read", records, oldest, now: now() }),
      onGone: start,
      onError: (err, failures) => {
        if (failures === 1) logger("%s", formatError(err));
      },
    });
  }
  follow();

  return {
    receive: (from, message) =>
      run({ type: "received", from, message, now: now() }),
    tick: () => run({ type: "ticked", now: now() }),
    close: () => {
      stopped.abort();
      clearTimeout(timer);
      follower?.close();
    },
  };
}
