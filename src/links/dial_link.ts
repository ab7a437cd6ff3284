/**
 * The calling side of a link: sends calls to a home node (the node on the same
 * VM as an endpoint).
 * @module
 */
import { type Attempt, type Home, RefusedBy } from "../calls/state.ts";
import type { MonotonicMs } from "../core/types.ts";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import { checkLink } from "./check_link.ts";
import type { Gossip } from "./messages.ts";
import {
  type Channel,
  openChannel,
  type OpenChannelOptions,
} from "./open_channel.ts";
import { MAX_UNSENT_BYTES } from "./state.ts";

/** Time after a message in which a link is not probed, in milliseconds. */
const RECENT_MESSAGE_MS = 500;

/** Bounds of the backoff between attempts to connect, in milliseconds. */
const REDIAL_BACKOFF = { firstMs: 100, longestMs: 1_500 };

/** Reason for closing a link on which no answer to a ping was received. */
export const UNRESPONSIVE_REASON = "silent";

/** Reason for closing a link whose peer does not read what is sent to it. */
const UNREAD_REASON = "peer does not read";

/** Options of `dialLink`. */
export interface DialLinkOptions extends Omit<OpenChannelOptions, "onEnd"> {
  /** Time between pings of the two nodes while idle, in milliseconds. */
  readonly idleMs: () => number;
  /** When the nodes last exchanged a ping, over either node's link. */
  readonly exchangedAt: () => MonotonicMs;
  /** How long a message may have waited to be read, in milliseconds. */
  readonly lagMs: () => number;
  readonly random: () => number;
  readonly hello: () => Gossip;
  readonly ping: () => Gossip;
  /** Called when an open link is lost, but not after `close`. */
  readonly onClose: (reason: string) => void;
  /**
   * Called when an attempt to open the link fails, and when an open link becomes
   * unresponsive. Attempts are repeated.
   */
  readonly onDialFailed: () => void;
}

export interface DialledLink extends Home {
  send(message: Gossip): void;
  /**
   * Pings the node or closes an unresponsive link, if due. Called a few times a
   * second.
   */
  check(): void;
  /** Pings the node unless a message arrived within `RECENT_MESSAGE_MS`. */
  probe(): void;
  /** Connects immediately instead of after the backoff. */
  connectNow(): void;
  isOpen(): boolean;
  hasCalls(): boolean;
  close(): void;
}

/**
 * Opens a link to a node, and opens it again after a loss until it is closed.
 *
 * When the peer stops responding, new calls use another connection. Calls that
 * it runs already may still be answered, so their connection is kept for them.
 */
export function dialLink(opts: DialLinkOptions): DialledLink {
  const { now } = opts;
  let channel: Channel | undefined;
  /** Unresponsive connections that are kept for their calls. */
  const abandoned = new Set<Channel>();
  let wasOpen = false;
  let isClosed = false;
  let failures = 0;
  let redialTimer: NodeJS.Timeout | undefined;

  function connect() {
    redialTimer = undefined;
    wasOpen = false;
    const opened: Channel = openChannel({
      ...opts,
      onGossip(message) {
        failures = 0;
        opts.onGossip(message);
      },
      onOpen() {
        wasOpen = true;
        opened.send(opts.hello());
        opts.onOpen();
      },
      onEnd(reason) {
        abandoned.delete(opened);
        if (channel === opened) handleLoss(reason);
      },
    });
    channel = opened;
  }

  function handleLoss(reason: string) {
    channel = undefined;
    if (isClosed) return;
    if (wasOpen) opts.onClose(reason);
    if (!wasOpen || reason === UNRESPONSIVE_REASON) opts.onDialFailed();
    // The report of a failure may have closed this link.
    if (isClosed) return;
    const delayMs = backoffWithHalfJitter(
      REDIAL_BACKOFF,
      failures,
      opts.random(),
    );
    failures++;
    redialTimer = setTimeout(connect, delayMs);
  }

  function ping({ health, send }: Channel) {
    // The first unanswered ping decides when the connection is given up.
    if (health.pingedAt <= health.receivedAt) health.pingedAt = now();
    health.lastPingAt = now();
    send(opts.ping());
  }

  function check() {
    if (channel?.isOpen() !== true) return;
    if (channel.unsentBytes() > MAX_UNSENT_BYTES) {
      return channel.close(UNREAD_REASON);
    }
    const linkCheck = checkLink(channel.health, {
      hasCalls: channel.hasCalls(),
      idleMs: opts.idleMs(),
      exchangedAt: opts.exchangedAt(),
      lagMs: opts.lagMs(),
      now: now(),
    });
    switch (linkCheck.type) {
      case "wait":
        return;
      case "ping":
        return ping(channel);
      case "give-up":
        return giveUp(channel);
    }
  }

  function giveUp(unresponsive: Channel) {
    abandoned.add(unresponsive);
    handleLoss(UNRESPONSIVE_REASON);
    unresponsive.abandon();
  }

  connect();
  return {
    attempt(call, onEvent): Attempt {
      if (channel?.isOpen() === true) return channel.attempt(call, onEvent);
      const refusal = {
        by: RefusedBy.Link,
        reason: `no link to ${opts.node}`,
        waitMs: 0,
      };
      queueMicrotask(() => onEvent({ type: "refused", refusal }));
      return { send() {}, finish() {}, limitAnswer() {}, cancel() {} };
    },
    send: (message) => channel?.send(message),
    check,
    probe() {
      if (channel?.isOpen() !== true) return;
      if (now() - channel.health.receivedAt < RECENT_MESSAGE_MS) return;
      ping(channel);
    },
    connectNow() {
      if (channel !== undefined || isClosed) return;
      clearTimeout(redialTimer);
      failures = 0;
      connect();
    },
    isOpen: () => channel?.isOpen() === true,
    hasCalls: () => channel?.hasCalls() === true || abandoned.size > 0,
    close() {
      isClosed = true;
      clearTimeout(redialTimer);
      channel?.close("closed");
      for (const one of [...abandoned]) one.close("closed");
    },
  };
}
