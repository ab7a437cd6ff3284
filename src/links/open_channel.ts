/**
 * One connection of a link to a home node, and the calls on it. A link opens
 * another one when a connection is lost.
 * @module
 */
import { WebSocket } from "ws";
import type { Attempt, AttemptEvent, OfferedCall } from "../calls/state.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  MessageDirection,
  type WorkMeter,
} from "../metrics/create_work_meter.ts";
import type { QueueReport } from "../queue/state.ts";
import { createPacker, createUnpacker } from "./create_packer.ts";
import type { Gossip, LinkKey, LinkMessage } from "./messages.ts";
import { isLastEvent } from "./serve_link.ts";
import type { LinkHealth } from "./state.ts";
import { trafficCauseOf } from "./traffic_cause_of.ts";

/** Timeout for a connection and its handshake, in milliseconds. */
const CONNECT_TIMEOUT_MS = 1_000;

/** Options of `openChannel`. */
export interface OpenChannelOptions {
  readonly node: NodeId;
  readonly now: () => MonotonicMs;
  readonly meter: WorkMeter;
  /** Whether the node is known to be in another failure domain. */
  readonly isOtherDomain: () => boolean;
  /** Called with the home node's queue report that a call's event carries. */
  readonly onReport: (report: QueueReport, route: string | undefined) => void;
  /**
   * Called with the round-trip network time of a call to the home node, in
   * milliseconds.
   */
  readonly onNetworkTime: (networkMs: number) => void;
  /** Called with an error that the handler of a call's events threw. */
  readonly onCallFault: (callId: string, err: unknown) => void;
  /** Called for each message that is not about a call. */
  readonly onGossip: (message: Gossip) => void;
  readonly onOpen: () => void;
  /** Called once, when the connection has ended or could not be opened. */
  readonly onEnd: (reason: string) => void;
}

export interface Channel {
  readonly health: LinkHealth;
  isOpen(): boolean;
  hasCalls(): boolean;
  /** Bytes that the peer has not read yet. */
  unsentBytes(): number;
  send(message: Gossip): void;
  attempt(
    call: OfferedCall,
    onEvent: (event: AttemptEvent) => void,
  ): Attempt;
  /**
   * Closes the connection once its calls have ended. Answers are still taken
   * until then: the peer may have been silent for a while only. The callers are
   * told that the calls take longer than usual.
   */
  abandon(): void;
  /** Fails all calls. The home node may have run them. */
  close(reason: string): void;
}

/** A call that was sent to the home node and has not ended. */
interface PendingCall {
  readonly id: string;
  readonly route: string;
  readonly sentAt: MonotonicMs;
  /** Whether no event of the call has been received. */
  isNew: boolean;
  readonly onEvent: (event: AttemptEvent) => void;
}

/** Begins to open a connection. */
export function openChannel(opts: OpenChannelOptions): Channel {
  const { now, meter } = opts;
  const pendingCalls = new Map<LinkKey, PendingCall>();
  const pack = createPacker({ isCompressing: opts.isOtherDomain });
  const unpack = createUnpacker();
  const health: LinkHealth = {
    receivedAt: now(),
    pingedAt: -Infinity,
    lastPingAt: -Infinity,
    peerLagMs: 0,
  };
  let lastKey = 0;
  let isOpen = false;
  let isAbandoned = false;
  let isOver = false;
  let endReason = "closed by the other side";
  const socket = new WebSocket(`ws://${opts.node}`, {
    perMessageDeflate: false,
    handshakeTimeout: CONNECT_TIMEOUT_MS,
    skipUTF8Validation: true,
  });
  socket.on("open", () => {
    isOpen = true;
    health.receivedAt = now();
    opts.onOpen();
  });
  socket.on("message", (data) => {
    health.receivedAt = now();
    const work = meter.begin();
    let type = "unreadable";
    try {
      const message = unpack(data as Buffer);
      ({ type } = message);
      handleMessage(message);
    } catch (err) {
      close(err instanceof Error ? err.message : String(err));
    } finally {
      meter.endMessage(
        work,
        MessageDirection.Received,
        type,
        (data as Buffer).length,
      );
    }
  });
  socket.on("error", (err) => endReason = err.message);
  socket.on("close", () => end(endReason));

  function end(reason: string) {
    if (isOver) return;
    isOver = true;
    isOpen = false;
    opts.onEnd(reason);
    const lost = [...pendingCalls.values()];
    pendingCalls.clear();
    for (const call of lost) {
      const failure = {
        reason: `link lost: ${reason}`,
        isTimeout: false,
        crashes: 0,
      };
      deliver(call, { type: "failed", failure });
    }
  }

  /** An error in the handling of one call must not end the others. */
  function deliver({ id, onEvent }: PendingCall, event: AttemptEvent) {
    try {
      onEvent(event);
    } catch (err) {
      opts.onCallFault(id, err);
    }
  }

  function close(reason: string) {
    end(reason);
    socket.terminate();
  }

  /** Forgets a call. An abandoned connection ends with its last call. */
  function forget(key: LinkKey): boolean {
    const wasPending = pendingCalls.delete(key);
    if (isAbandoned && pendingCalls.size === 0) close("abandoned");
    return wasPending;
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
        if (isLastEvent(message.event)) forget(message.key);
        deliver(call, message.event);
        return;
      }
      case "offer":
      case "body":
      case "body-end":
      case "cancel":
      case "limit-answer":
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
      case "quarantine/rows":
      case "allowance/join":
      case "allowance/beat":
      case "allowance/lease":
      case "allowance/ask":
      case "allowance/grant":
        if (!isAbandoned) opts.onGossip(message);
        return;
    }
  }

  function send(message: LinkMessage, isRetry = false) {
    if (!isOpen) return;
    const work = meter.begin();
    const packed = pack(message);
    socket.send(packed);
    if (opts.isOtherDomain()) {
      const cause = trafficCauseOf(message, isRetry);
      meter.countOtherDomainBytes(cause, packed.length);
    }
    meter.endMessage(work, MessageDirection.Sent, message.type, packed.length);
  }

  return {
    health,
    isOpen: () => isOpen,
    hasCalls: () => pendingCalls.size > 0,
    unsentBytes: () => socket.bufferedAmount,
    send: (message) => send(message),
    attempt(call, onEvent) {
      const key = ++lastKey;
      const { id, route, isRetry = false } = call;
      pendingCalls.set(key, {
        id,
        route,
        sentAt: now(),
        isNew: true,
        onEvent,
      });
      send({ type: "offer", key, call }, isRetry);
      return {
        send: (chunk) => send({ type: "body", key, chunk }, isRetry),
        finish: () => send({ type: "body-end", key }, isRetry),
        limitAnswer(leftMs) {
          if (!pendingCalls.has(key)) return;
          send({ type: "limit-answer", key, leftMs }, isRetry);
        },
        cancel() {
          if (!pendingCalls.has(key)) return;
          send({ type: "cancel", key }, isRetry);
          forget(key);
        },
      };
    },
    abandon() {
      isAbandoned = true;
      if (pendingCalls.size === 0) return close("abandoned");
      for (const call of [...pendingCalls.values()]) {
        deliver(call, { type: "overdue" });
      }
    },
    close,
  };
}
