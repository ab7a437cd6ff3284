/**
 * The serving side of a link: runs the calls that another node sends to this
 * home node (the node on the same VM as the endpoint).
 * @module
 */
import {
  type Attempt,
  type AttemptEvent,
  type Home,
  type OfferedCall,
  RefusedBy,
} from "../calls/state.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import { type QueueReport, RefusalReason } from "../queue/state.ts";
import type { CallMessage, LinkKey, LinkMessage } from "./messages.ts";

/** Options of `serveLink`. */
export interface ServeLinkOptions {
  readonly home: Home;
  readonly report: (route?: string) => QueueReport;
  /** How long a message may have waited to be read, in milliseconds. */
  readonly lagMs: () => number;
  readonly now: () => MonotonicMs;
  /** Whether a call with `leftMs` until its deadline is still accepted. */
  readonly canAccept: (leftMs: number) => boolean;
  readonly send: (message: LinkMessage) => void;
  /** Called with an error that the handling of a call threw. */
  readonly onCallFault: (callId: string, err: unknown) => void;
}

export interface ServedLink {
  handle(message: CallMessage): void;
  /** Cancels all calls of the link, since their answers can't be sent. */
  close(): void;
}

interface ServedAttempt {
  readonly callId: string;
  readonly attempt: Attempt;
}

/** Serves the calls of one link. */
export function serveLink(opts: ServeLinkOptions): ServedLink {
  const attempts = new Map<LinkKey, ServedAttempt>();

  function sendEvent(
    key: LinkKey,
    route: string,
    event: AttemptEvent,
    heldMs: number,
  ) {
    if (isLastEvent(event)) attempts.delete(key);
    const report = opts.report(route);
    const lagMs = opts.lagMs();
    opts.send({ type: "event", key, event, report, heldMs, lagMs });
  }

  /** An error in the handling of one call must not end the others. */
  function guard(key: LinkKey, callId: string, handle: () => void) {
    try {
      handle();
    } catch (err) {
      opts.onCallFault(callId, err);
      attempts.delete(key);
      // It is not known whether the call has run.
      const failure = {
        reason: "the home node failed to handle it",
        isTimeout: false,
        crashes: 0,
      };
      sendEvent(key, "", { type: "failed", failure }, 0);
    }
  }

  function handleAttempt(key: LinkKey, handle: (attempt: Attempt) => void) {
    const served = attempts.get(key);
    if (served === undefined) return;
    guard(key, served.callId, () => handle(served.attempt));
  }

  function startCall(key: LinkKey, call: OfferedCall): Attempt | undefined {
    const hasLaterBody = call.body === undefined;
    const readAt = opts.now();
    // The times of the call count from its sending. On an overloaded node the
    // call waits unread, and its caller may have left before the call is read.
    const lagMs = opts.lagMs();
    const leftMs = call.leftMs - lagMs;
    const objectiveLeftMs = call.objectiveLeftMs - lagMs;
    if (!opts.canAccept(leftMs)) {
      const reason = RefusalReason.Closed;
      const refusal = { by: RefusedBy.Home, reason, waitMs: 0 };
      sendEvent(key, call.route, { type: "refused", refusal }, 0);
      return undefined;
    }
    return opts.home.attempt({ ...call, leftMs, objectiveLeftMs }, (event) => {
      // The sender needs the admission only when it has a body to send after
      // it.
      if (event.type === "admitted" && !hasLaterBody) return;
      guard(key, call.id, () => {
        sendEvent(key, call.route, event, opts.now() - readAt);
      });
    });
  }

  return {
    handle(message) {
      const { key } = message;
      switch (message.type) {
        case "offer": {
          const { call } = message;
          guard(key, call.id, () => {
            const attempt = startCall(key, call);
            if (attempt === undefined) return;
            attempts.set(key, { callId: call.id, attempt });
          });
          return;
        }
        case "body":
          return handleAttempt(key, (one) => one.send(message.chunk));
        case "body-end":
          return handleAttempt(key, (one) => one.finish());
        case "limit-answer": {
          const leftMs = message.leftMs - opts.lagMs();
          return handleAttempt(key, (one) => one.limitAnswer(leftMs));
        }
        case "cancel":
          handleAttempt(key, (one) => one.cancel());
          attempts.delete(key);
          return;
        default:
          exhausted(message);
      }
    },
    close() {
      for (const key of [...attempts.keys()]) {
        handleAttempt(key, (one) => one.cancel());
      }
      attempts.clear();
    },
  };
}

/** Returns whether no event follows `event`. */
export function isLastEvent(event: AttemptEvent): boolean {
  switch (event.type) {
    case "refused":
    case "failed":
    case "ended":
      return true;
    case "answered":
      return event.body !== undefined;
    case "admitted":
    case "overdue":
    case "chunk":
      return false;
    default:
      return exhausted(event);
  }
}
