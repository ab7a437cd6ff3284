/**
 * The calling side of a link: sends calls to a home node (the node on the same
 * VM as an endpoint).
 * @module
 */
import { WebSocket } from "ws";
import {
  type Attempt,
  type AttemptEvent,
  type Home,
  RefusedBy,
} from "../calls/state.ts";
import { backoffWithHalfJitter } from "../core/backoff_with_half_jitter.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  MessageDirection,
  type WorkMeter,
} from "../metrics/create_work_meter.ts";
import type { QueueReport } from "../queue/state.ts";
import { checkLink } from "./check_link.ts";
import { createPacker, createUnpacker } from "./create_packer.ts";
import type { Gossip, LinkKey, LinkMessage } from "./messages.ts";
import { isLastEvent } from "./serve_link.ts";
import { type LinkHealth, MAX_UNSENT_BYTES } from "./state.ts";

/** Timeout for a connection and its handshake, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Time after a message in which a link is not probed, in milliseconds. */
const RECENT_MESSAGE_MS = 500;

/** Bounds of the backoff between attempts to connect, in milliseconds. */
const REDIAL_BACKOFF = { firstMs: 100, longestMs: 1_500 };

/** Reason for closing a link on which no answer to a ping was received. */
export const UNRESPONSIVE_REASON = "silent";

/** Reason for closing a link whose peer does not read what is sent to it. */
const UNREAD_REASON = "peer does not read";

/** Options of `dialLink`. */
export interface DialLinkOptions {
  readonly node: NodeId;
  /** Time between pings of the two nodes while idle, in milliseconds. */
  readonly idleMs: () => number;
  /** When the nodes last exchanged a ping, over either node's link. */
  readonly exchangedAt: () => MonotonicMs;
  /** How long a message may have waited to be read, in milliseconds. */
  readonly lagMs: () => number;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
  readonly meter: WorkMeter;
  /** Whether the node is known to be in another failure domain. */
  readonly isOtherDomain: () => boolean;
  readonly hello: () => Gossip;
  readonly ping: () => Gossip;
  /** Called with the home node's queue report that a call's event carries. */
  readonly onReport: (report: QueueReport, route: string | undefined) => void;
  /**
   * Called with the round-trip network time of a call to the home node, in
   * milliseconds.
   */
  readonly onNetworkTime: (networkMs: number) => void;
  readonly onGossip: (message: Gossip) => void;
  readonly onOpen: () => void;
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

/** A call that was sent to the home node and has not ended. */
interface PendingCall {
  readonly route: string;
  readonly sentAt: MonotonicMs;
  /** Whether no event of the call has been received. */
  isNew: boolean;
  readonly onEvent: (event: AttemptEvent) => void;
}

/**
 * Opens a link to a node, and opens it again after a loss until it is closed.
 */
export function dialLink(opts: DialLinkOptions): DialledLink {
  const { now, meter } = opts;
  const pendingCalls = new Map<LinkKey, PendingCall>();
  let lastKey = 0;
  let socket: WebSocket | undefined;
  let pack = createPacker({ isCompressing: opts.isOtherDomain });
  let isOpen = false;
  let isClosed = false;
  let failures = 0;
  let health: LinkHealth = createHealth(now());
  let redialTimer: NodeJS.Timeout | undefined;

  function connect() {
    redialTimer = undefined;
    pack = createPacker({ isCompressing: opts.isOtherDomain });
    const unpack = createUnpacker();
    const newSocket = new WebSocket(`ws://${opts.node}`, {
      perMessageDeflate: false,
      handshakeTimeout: CONNECT_TIMEOUT_MS,
      skipUTF8Validation: true,
    });
    socket = newSocket;
    let reason = "closed by the other side";
    newSocket.on("open", () => {
      isOpen = true;
      health = createHealth(now());
      send(opts.hello());
      opts.onOpen();
    });
    newSocket.on("message", (data) => {
      health.receivedAt = now();
      const work = meter.begin();
      let type = "unreadable";
      try {
        const message = unpack(data as Buffer);
        ({ type } = message);
        failures = 0;
        handleMessage(message);
      } catch (err) {
        reason = err instanceof Error ? err.message : String(err);
        newSocket.terminate();
      } finally {
        meter.endMessage(
          work,
          MessageDirection.Received,
          type,
          (data as Buffer).length,
        );
      }
    });
    newSocket.on("error", (err) => reason = err.message);
    newSocket.on("close", () => {
      if (socket !== newSocket) return;
      handleLoss(reason);
    });
  }

  function handleLoss(reason: string) {
    const wasOpen = isOpen;
    isOpen = false;
    socket = undefined;
    if (wasOpen && !isClosed) opts.onClose(reason);
    failAll(reason);
    if (isClosed) return;
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

  /** Fails all pending calls. The home node may have run them. */
  function failAll(reason: string) {
    const lost = [...pendingCalls.values()];
    pendingCalls.clear();
    for (const { onEvent } of lost) {
      const failure = { reason: `link lost: ${reason}`, isTimeout: false };
      onEvent({ type: "failed", failure });
    }
  }

  function handleMessage(message: LinkMessage) {
    switch (message.type) {
      case "event": {
        const call = pendingCalls.get(message.key);
        health.peerLagMs = message.lagMs;
        opts.onReport(message.report, call?.route);
        if (call === undefined) return;
        // Only the first event is measured: before later ones, bodies are sent.
        if (call.isNew) {
          opts.onNetworkTime(now() - call.sentAt - message.heldMs);
        }
        call.isNew = false;
        if (isLastEvent(message.event)) pendingCalls.delete(message.key);
        call.onEvent(message.event);
        return;
      }
      case "offer":
      case "body":
      case "body-end":
      case "cancel":
        throw new TypeError(`${message.type} came from a home`);
      case "pong":
        health.peerLagMs = message.lagMs;
        opts.onGossip(message);
        return;
      case "hello":
      case "ping":
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
        opts.onGossip(message);
        return;
    }
  }

  function send(message: LinkMessage) {
    if (!isOpen) return;
    const work = meter.begin();
    const packed = pack(message);
    socket?.send(packed);
    meter.endMessage(work, MessageDirection.Sent, message.type, packed.length);
  }

  function ping() {
    // The first unanswered ping decides when the link is closed.
    if (health.pingedAt <= health.receivedAt) health.pingedAt = now();
    health.lastPingAt = now();
    send(opts.ping());
  }

  function check() {
    if (!isOpen) return;
    if ((socket?.bufferedAmount ?? 0) > MAX_UNSENT_BYTES) {
      return drop(UNREAD_REASON);
    }
    const linkCheck = checkLink(health, {
      hasCalls: pendingCalls.size > 0,
      idleMs: opts.idleMs(),
      exchangedAt: opts.exchangedAt(),
      lagMs: opts.lagMs(),
      now: now(),
    });
    switch (linkCheck.type) {
      case "wait":
        return;
      case "ping":
        return ping();
      case "give-up":
        return drop(UNRESPONSIVE_REASON);
    }
  }

  function drop(reason: string) {
    const dropped = socket;
    handleLoss(reason);
    dropped?.terminate();
  }

  connect();
  return {
    attempt(call, onEvent): Attempt {
      const key = ++lastKey;
      if (!isOpen) {
        const refusal = {
          by: RefusedBy.Link,
          reason: `no link to ${opts.node}`,
          waitMs: 0,
        };
        queueMicrotask(() => onEvent({ type: "refused", refusal }));
        return { send() {}, finish() {}, cancel() {} };
      }
      const { route } = call;
      pendingCalls.set(key, { route, sentAt: now(), isNew: true, onEvent });
      send({ type: "offer", key, call });
      return {
        send: (chunk) => send({ type: "body", key, chunk }),
        finish: () => send({ type: "body-end", key }),
        cancel() {
          if (pendingCalls.delete(key)) send({ type: "cancel", key });
        },
      };
    },
    send,
    check,
    probe() {
      if (isOpen && now() - health.receivedAt >= RECENT_MESSAGE_MS) ping();
    },
    connectNow() {
      if (socket !== undefined || isClosed) return;
      clearTimeout(redialTimer);
      failures = 0;
      connect();
    },
    isOpen: () => isOpen,
    hasCalls: () => pendingCalls.size > 0,
    close() {
      isClosed = true;
      clearTimeout(redialTimer);
      socket?.terminate();
      failAll("closed");
    },
  };
}

function createHealth(now: MonotonicMs): LinkHealth {
  return {
    receivedAt: now,
    pingedAt: -Infinity,
    lastPingAt: -Infinity,
    peerLagMs: 0,
  };
}
