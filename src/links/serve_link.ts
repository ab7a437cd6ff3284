/**
 * The home's side of a link: takes calls that another node offers.
 * @module
 */
import type {
  Attempt,
  AttemptEvent,
  Home,
  OfferedCall,
} from "../calls/state.ts";
import { exhausted } from "../core/exhausted.ts";
import type { QueueReport } from "../queue/state.ts";
import type { CallMessage, LinkKey, LinkMessage } from "./messages.ts";

/** Options of `serveLink`. */
export interface ServeLinkOptions {
  readonly home: Home;
  readonly report: (route?: string) => QueueReport;
  /** How long a message may have waited unread, in milliseconds. */
  readonly lagMs: () => number;
  readonly send: (message: LinkMessage) => void;
}

export interface ServedLink {
  take(message: CallMessage): void;
  /** Withdraws all calls of the link, whose node can't be answered any more. */
  close(): void;
}

/** Serves the calls of one link. */
export function serveLink(opts: ServeLinkOptions): ServedLink {
  const attempts = new Map<LinkKey, Attempt>();

  function tell(key: LinkKey, route: string, event: AttemptEvent) {
    if (isLast(event)) attempts.delete(key);
    const report = opts.report(route);
    opts.send({ type: "event", key, event, report, lagMs: opts.lagMs() });
  }

  function offer(key: LinkKey, call: OfferedCall): Attempt {
    const isWaited = call.body === undefined;
    // Times are relative to the offer's sending. On a node that can't keep up
    // an offer waits unread, and its caller may be gone when it is read.
    const lagMs = opts.lagMs();
    const leftMs = call.leftMs - lagMs;
    const aimLeftMs = call.aimLeftMs - lagMs;
    return opts.home.offer({ ...call, leftMs, aimLeftMs }, (event) => {
      // An admission matters to a body that waits for it, and to nothing else.
      if (event.type !== "admitted" || isWaited) tell(key, call.route, event);
    });
  }

  return {
    take(message) {
      const { key } = message;
      switch (message.type) {
        case "offer":
          attempts.set(key, offer(key, message.call));
          return;
        case "body":
          attempts.get(key)?.send(message.chunk);
          return;
        case "body-end":
          attempts.get(key)?.finish();
          return;
        case "cancel":
          attempts.get(key)?.cancel();
          attempts.delete(key);
          return;
        default:
          exhausted(message);
      }
    },
    close() {
      for (const attempt of attempts.values()) attempt.cancel();
      attempts.clear();
    },
  };
}

/** Whether no event follows. */
export function isLast(event: AttemptEvent): boolean {
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
