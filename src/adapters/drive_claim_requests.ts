/**
 * Handles calls with an idempotency key: claims the key at the claim readers of
 * the failure domain before a run, and records the outcome after it.
 * @module
 */
import createDebug from "debug";
import { Priority } from "../control/create_control_loop.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { pickReaders } from "../distribution/pick_readers.ts";
import {
  createClaimRequestState,
  decideClaimRequest,
} from "../idempotency/decide_claim_request.ts";
import {
  keyOfCall,
  type KeyOfCallOptions,
} from "../idempotency/key_of_call.ts";
import type {
  IdempotencyMessage,
  RunOutcome,
} from "../idempotency/messages.ts";
import type { ClaimOutcome, ClaimRequestEvent } from "../idempotency/state.ts";
import { TraceSlice } from "../trace/messages.ts";
import type { ControlContext } from "./control_context.ts";
import type { LogClient } from "./log_client.ts";
import { type ClaimReader, readClaims } from "./read_claims.ts";

const logger = createDebug("lagoon:once");

/** Interval of ticks while claim requests wait for a reader. */
const CLAIM_TICK_MS = 25;

/** Options of `driveClaimRequests`. */
export interface DriveClaimRequestsOptions {
  readonly context: ControlContext;
  readonly log: LogClient;
  /** Live nodes of this node's failure domain. */
  readonly members: () => readonly NodeId[];
}

/** A call on a non-repeatable route with an idempotency key. */
export interface ClaimedCall extends KeyOfCallOptions {
  readonly deadlineAt: MonotonicMs;
}

export interface ClaimRequestDriver {
  /**
   * Resolves with the claim's outcome, at the latest with the first tick after
   * the call's deadline.
   */
  claim(call: ClaimedCall): Promise<ClaimOutcome>;
  /**
   * Records how the run of an attempt ended. `undefined` means that the call
   * certainly did not run, so a resend may run.
   */
  settle(attempt: string, outcome: RunOutcome | undefined): void;
  receive(from: NodeId, message: IdempotencyMessage): void;
  tick(): void;
  /** Resolves when every outcome is recorded, or after `timeoutMs`. */
  idle(timeoutMs: number): Promise<void>;
  close(): void;
}

/**
 * Creates the driver. Only `claim`, `settle` and `idle` may be called from
 * outside the control loop.
 */
export function driveClaimRequests(
  opts: DriveClaimRequestsOptions,
): ClaimRequestDriver {
  const { context, members } = opts;
  const { self, loop, now, recorder } = context;
  const writer = `${self.id}/${self.boot}`;
  const requests = recorder.created(
    TraceSlice.Ask,
    writer,
    createClaimRequestState(writer),
  );
  const decide = recorder.traced(TraceSlice.Ask, decideClaimRequest);
  const waiting = new Map<string, (outcome: ClaimOutcome) => void>();
  let reader: ClaimReader | undefined;
  let timer: NodeJS.Timeout | undefined;
  let onIdle = () => {};
  // Readers are chosen on each tick. Hashing all members for each call would be
  // too slow.
  let chosenReaders: readonly NodeId[] = [];
  const readers = () => chosenReaders;

  function send(to: NodeId, message: IdempotencyMessage) {
    if (to !== self.id) return context.send(to, message);
    loop.post(Priority.Config, () => receive(self.id, message));
  }

  function runRequests(event: ClaimRequestEvent) {
    for (const effect of decide(requests, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "resolve":
          waiting.get(effect.attempt)?.(effect.outcome);
          waiting.delete(effect.attempt);
          break;
        default:
          exhausted(effect);
      }
    }
    if (requests.attempts.size === 0) onIdle();
    schedule();
  }

  /** Schedules a tick while claim requests are open. */
  function schedule() {
    if (timer !== undefined) return;
    if (requests.attempts.size === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      loop.post(
        Priority.Config,
        () => runRequests({ type: "ticked", readers: readers(), now: now() }),
      );
    }, CLAIM_TICK_MS);
  }

  function receive(from: NodeId, message: IdempotencyMessage) {
    switch (message.type) {
      case "once/claim":
      case "once/finish":
        if (reader !== undefined) return reader.receive(from, message);
        return refuse(from, message);
      case "once/verdict":
      case "once/finished":
        return runRequests({ type: "received", message, now: now() });
      default:
        exhausted(message);
    }
  }

  function refuse(from: NodeId, message: IdempotencyMessage) {
    if (message.type !== "once/claim") return;
    const { attempt } = message.claim;
    const verdict = { type: "away", reason: "not a reader of claims" } as const;
    send(from, { type: "once/verdict", attempt, verdict });
  }

  function chooseRole() {
    chosenReaders = pickReaders(members(), self.domain);
    const isReader = chosenReaders.includes(self.id);
    if (isReader === (reader !== undefined)) return;
    logger(
      isReader
        ? "This node reads claims."
        : "This node no longer reads claims.",
    );
    reader?.close();
    reader = isReader
      ? readClaims({ context, log: opts.log, send })
      : undefined;
  }

  function requestClaim(
    call: ClaimedCall,
    resolve: (outcome: ClaimOutcome) => void,
  ) {
    const attempt = `${requests.writer}/${requests.nextSeq}`;
    waiting.set(attempt, resolve);
    const { deadlineAt } = call;
    const { key, digest } = keyOfCall(call);
    runRequests({
      type: "asked",
      key,
      digest,
      deadlineAt,
      readers: readers(),
      now: now(),
    });
  }

  return {
    claim: (call) =>
      new Promise((resolve) => {
        loop.post(Priority.Config, () => requestClaim(call, resolve));
      }),
    settle: (attempt, outcome) => {
      loop.post(Priority.Config, () =>
        runRequests({
          type: "settled",
          attempt,
          outcome,
          readers: readers(),
          now: now(),
        }));
    },
    receive,
    tick: () => {
      chooseRole();
      reader?.tick();
    },
    idle: (timeoutMs) =>
      new Promise((resolve) => {
        const bound = setTimeout(resolve, timeoutMs);
        onIdle = () => {
          clearTimeout(bound);
          resolve();
        };
        // Outcomes settled earlier may still be queued in the loop. The check
        // is queued behind them.
        loop.post(Priority.Config, () => {
          if (requests.attempts.size === 0) onIdle();
        });
      }),
    close: () => {
      clearTimeout(timer);
      reader?.close();
    },
  };
}
