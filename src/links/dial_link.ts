/**
 * The caller's side of a link: offers calls to the home on another node.
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
import type { LinkHealth } from "./state.ts";

/** Time for a connection and its handshake, in milliseconds. */
const connectMs = 1_000;

/** A link on which something came a moment ago is alive. */
const freshMs = 500;

/** Pauses between attempts to connect, in milliseconds. */
const redialBounds = { firstMs: 100, longestMs: 1_500 };

/** Reason given when nothing came back over a link. */
export const UNRESPONSIVE_REASON = "silent";

/** Options of `dialLink`. */
export interface DialLinkOptions {
  readonly node: NodeId;
  /** Time between pings of the two nodes while they are idle. */
  readonly idleMs: () => number;
  /** When the nodes last exchanged a ping, over the peer's link too. */
  readonly exchangedAt: () => MonotonicMs;
  /** How long a message may have waited unread, in milliseconds. */
  readonly lagMs: () => number;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
  readonly meter: WorkMeter;
  /** Whether the node is in another failure domain, as far as is known. */
  readonly isOtherDomain: () => boolean;
  readonly hello: () => Gossip;
  readonly ping: () => Gossip;
  /** A report that comes with a call's event. */
  readonly onReport: (report: QueueReport, route: string | undefined) => void;
  /** Time that a call spent between this node and the home, in milliseconds. */
  readonly onNetworkTime: (networkMs: number) => void;
  readonly onGossip: (message: Gossip) => void;
  readonly onOpen: () => void;
  readonly onClose: (reason: string) => void;
}

export interface DialledLink extends Home {
  send(message: Gossip): void;
  /** Looks whether the link is alive. Called a few times a second. */
  check(): void;
  /** Pings the node soon, unless it was heard a moment ago. */
  probe(): void;
  /** Connects now instead of after the pause. */
  hurry(): void;
  close(): void;
}

interface OfferedOnLink {
  readonly route: string;
  readonly offeredAt: MonotonicMs;
  /** No event of the call has come. */
  isNew: boolean;
  readonly onEvent: (event: AttemptEvent) => void;
}

/** Keeps a link to a node, connecting again for as long as it is not closed. */
export function dialLink(opts: DialLinkOptions): DialledLink {
  const { now, meter } = opts;
  const offered = new Map<LinkKey, OfferedOnLink>();
  let lastKey = 0;
  let socket: WebSocket | undefined;
  let pack = createPacker({ isCompressing: opts.isOtherDomain });
  let isOpen = false;
  let isClosed = false;
  let failures = 0;
  let health: LinkHealth = createHealth(now());
  let redial: NodeJS.Timeout | undefined;

  function connect() {
    redial = undefined;
    pack = createPacker({ isCompressing: opts.isOtherDomain });
    const unpack = createUnpacker();
    const fresh = new WebSocket(`ws://${opts.node}`, {
      perMessageDeflate: false,
      handshakeTimeout: connectMs,
      skipUTF8Validation: true,
    });
    socket = fresh;
    let reason = "closed by the other side";
    fresh.on("open", () => {
      isOpen = true;
      failures = 0;
      health = createHealth(now());
      send(opts.hello());
      opts.onOpen();
    });
    fresh.on("message", (data) => {
      health.receivedAt = now();
      const work = meter.begin();
      let type = "unreadable";
      try {
        const message = unpack(data as Buffer);
        ({ type } = message);
        take(message);
      } catch (err) {
        reason = err instanceof Error ? err.message : String(err);
        fresh.terminate();
      } finally {
        meter.endMessage(
          work,
          MessageDirection.Received,
          type,
          (data as Buffer).length,
        );
      }
    });
    fresh.on("error", (err) => reason = err.message);
    fresh.on("close", () => {
      if (socket !== fresh) return;
      lose(reason);
    });
  }

  function lose(reason: string) {
    const wasOpen = isOpen;
    isOpen = false;
    socket = undefined;
    if (wasOpen) opts.onClose(reason);
    failAll(reason);
    if (isClosed) return;
    const pauseMs = backoffWithHalfJitter(
      redialBounds,
      failures,
      opts.random(),
    );
    failures++;
    redial = setTimeout(connect, pauseMs);
  }

  /** The home may have begun the calls that it was offered. */
  function failAll(reason: string) {
    const lost = [...offered.values()];
    offered.clear();
    for (const { onEvent } of lost) {
      const failure = { reason: `link lost: ${reason}`, isTimeout: false };
      onEvent({ type: "failed", failure });
    }
  }

  function take(message: LinkMessage) {
    switch (message.type) {
      case "event": {
        const call = offered.get(message.key);
        health.peerLagMs = message.lagMs;
        opts.onReport(message.report, call?.route);
        if (call === undefined) return;
        // Bodies travel between later events.
        if (call.isNew) {
          opts.onNetworkTime(now() - call.offeredAt - message.heldMs);
        }
        call.isNew = false;
        if (isLastEvent(message.event)) offered.delete(message.key);
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
    // The first ping without an answer decides when the link is given up.
    if (health.pingedAt <= health.receivedAt) health.pingedAt = now();
    health.lastPingAt = now();
    send(opts.ping());
  }

  function check() {
    if (!isOpen) return;
    const found = checkLink(health, {
      hasCalls: offered.size > 0,
      idleMs: opts.idleMs(),
      exchangedAt: opts.exchangedAt(),
      lagMs: opts.lagMs(),
      now: now(),
    });
    switch (found.type) {
      case "wait":
        return;
      case "ping":
        return ping();
      case "give-up": {
        const silent = socket;
        lose(UNRESPONSIVE_REASON);
        silent?.terminate();
        return;
      }
    }
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
      offered.set(key, { route, offeredAt: now(), isNew: true, onEvent });
      send({ type: "offer", key, call });
      return {
        send: (chunk) => send({ type: "body", key, chunk }),
        finish: () => send({ type: "body-end", key }),
        cancel() {
          if (offered.delete(key)) send({ type: "cancel", key });
        },
      };
    },
    send,
    check,
    probe() {
      if (isOpen && now() - health.receivedAt >= freshMs) ping();
    },
    hurry() {
      if (socket !== undefined || isClosed) return;
      clearTimeout(redial);
      failures = 0;
      connect();
    },
    close() {
      isClosed = true;
      clearTimeout(redial);
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
