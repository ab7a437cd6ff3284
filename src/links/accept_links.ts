/**
 * Accepts the links that other nodes open.
 * @module
 */
import { createServer, type Server } from "node:http";
import { type WebSocket, WebSocketServer } from "ws";
import type { Home } from "../calls/state.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  MessageDirection,
  type WorkMeter,
} from "../metrics/create_work_meter.ts";
import type { QueueReport } from "../queue/state.ts";
import { createPacker, createUnpacker } from "./create_packer.ts";
import {
  type Gossip,
  type LinkMessage,
  type NodeStatus,
  PROTOCOL_VERSION,
} from "./messages.ts";
import { serveLink } from "./serve_link.ts";
import { MAX_UNSENT_BYTES } from "./state.ts";
import { trafficCauseOf } from "./traffic_cause_of.ts";

/**
 * Maximum size of a message, in bytes. Bodies are sent in much smaller parts.
 */
const MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024;

/**
 * Time without any message after which a link is closed, in milliseconds. The
 * node that opened a link pings it more often than this.
 */
const MAX_SILENCE_MS = 90_000;

/** Time between checks of all links, in milliseconds. */
const CHECK_INTERVAL_MS = 2_000;

/** Options of `acceptLinks`. */
export interface AcceptLinksOptions {
  readonly home: Home;
  readonly report: (route?: string) => QueueReport;
  readonly status: () => NodeStatus;
  readonly lagMs: () => number;
  readonly now: () => MonotonicMs;
  readonly meter: WorkMeter;
  /** Whether a call with `leftMs` until its deadline is still accepted. */
  readonly canAccept: (leftMs: number) => boolean;
  /**
   * Handles gossip and answers it through `reply`. `from` is undefined until
   * the sender's hello has been received.
   */
  readonly onGossip: (
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ) => void;
  /**
   * Whether `domain` is another failure domain than this node's. Messages to
   * its nodes are compressed.
   */
  readonly isOtherDomain: (domain: string) => boolean;
  readonly onError: (reason: string, from: NodeId | undefined) => void;
  /** Called with an error that the handling of a call threw. */
  readonly onCallFault: (callId: string, err: unknown) => void;
  /** Called when a link closes whose sender has sent its hello. */
  readonly onClosed: (
    from: NodeId,
    reply: (message: Gossip) => void,
  ) => void;
}

export interface AcceptedLinks {
  readonly server: Server;
  /** Bytes that are buffered because other nodes have not read them yet. */
  unsentBytes(): number;
  close(): void;
}

/** Creates the server of links. The caller makes it listen on an address. */
export function acceptLinks(opts: AcceptLinksOptions): AcceptedLinks {
  const server = createServer((_req, res) => {
    res.writeHead(404).end();
  });
  const wss = new WebSocketServer({
    server,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
    skipUTF8Validation: true,
  });
  // The caller makes the HTTP server listen and reports its errors.
  wss.on("error", () => {});
  const links = new Set<AcceptedLink>();
  wss.on("connection", (socket) => {
    const link = serve(socket, opts);
    links.add(link);
    socket.on("close", () => links.delete(link));
  });
  const checker = setInterval(() => {
    for (const link of links) link.check();
  }, CHECK_INTERVAL_MS);
  return {
    server,
    unsentBytes() {
      let bytes = 0;
      for (const socket of wss.clients) bytes += socket.bufferedAmount;
      return bytes;
    },
    close() {
      clearInterval(checker);
      for (const socket of wss.clients) socket.terminate();
      wss.close();
      server.close();
    },
  };
}

interface AcceptedLink {
  /** Closes the link if its peer sends nothing or does not read. */
  check(): void;
}

function serve(socket: WebSocket, opts: AcceptLinksOptions): AcceptedLink {
  let from: NodeId | undefined;
  let isOtherDomain = false;
  let receivedAt = opts.now();
  const pack = createPacker({ isCompressing: () => isOtherDomain });
  const unpack = createUnpacker();
  const send = (message: LinkMessage) => {
    if (socket.readyState !== socket.OPEN) return;
    const work = meter.begin();
    const packed = pack(message);
    socket.send(packed);
    if (isOtherDomain) {
      meter.countOtherDomainBytes(
        trafficCauseOf(message, false),
        packed.length,
      );
    }
    meter.endMessage(work, MessageDirection.Sent, message.type, packed.length);
  };
  const { home, report, lagMs, now, canAccept, meter } = opts;
  const calls = serveLink({
    home,
    report,
    lagMs,
    now,
    canAccept,
    send,
    onCallFault: opts.onCallFault,
  });

  function handleMessage(message: LinkMessage) {
    switch (message.type) {
      case "offer":
      case "body":
      case "body-end":
      case "cancel":
      case "limit-answer":
        return calls.handle(message);
      case "event":
      case "pong":
        throw new TypeError(`node that opened the link sent "${message.type}"`);
      case "ping":
        send({ type: "pong", ...opts.status() });
        break;
      case "hello":
        if (message.protocol !== PROTOCOL_VERSION) {
          throw new TypeError(
            `peer speaks protocol ${message.protocol}, not ${PROTOCOL_VERSION}`,
          );
        }
        from = message.row.node;
        isOtherDomain = opts.isOtherDomain(message.row.domain);
        break;
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
        break;
    }
    opts.onGossip(from, message, send);
  }

  socket.on("message", (data) => {
    receivedAt = now();
    const work = meter.begin();
    let type = "unreadable";
    try {
      const message = unpack(data as Buffer);
      ({ type } = message);
      handleMessage(message);
    } catch (err) {
      opts.onError(err instanceof Error ? err.message : String(err), from);
      socket.terminate();
    } finally {
      meter.endMessage(
        work,
        MessageDirection.Received,
        type,
        (data as Buffer).length,
      );
    }
  });
  socket.on("error", (err) => opts.onError(err.message, from));
  socket.on("close", () => {
    calls.close();
    if (from !== undefined) opts.onClosed(from, send);
  });
  return {
    check() {
      const isSilent = now() - receivedAt >= MAX_SILENCE_MS;
      if (!isSilent && socket.bufferedAmount <= MAX_UNSENT_BYTES) return;
      opts.onError(
        isSilent ? "peer sends nothing" : "peer does not read",
        from,
      );
      socket.terminate();
    },
  };
}
