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
import type { Gossip, LinkMessage, NodeStatus } from "./messages.ts";
import { serveLink } from "./serve_link.ts";

/**
 * Maximum size of a message, in bytes. Bodies are sent in much smaller parts.
 */
const MAX_MESSAGE_BYTES = 16 * 1_024 * 1_024;

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
  wss.on("connection", (socket) => serve(socket, opts));
  return {
    server,
    unsentBytes() {
      let bytes = 0;
      for (const socket of wss.clients) bytes += socket.bufferedAmount;
      return bytes;
    },
    close() {
      for (const socket of wss.clients) socket.terminate();
      wss.close();
      server.close();
    },
  };
}

function serve(socket: WebSocket, opts: AcceptLinksOptions) {
  let from: NodeId | undefined;
  let isOtherDomain = false;
  const pack = createPacker({ isCompressing: () => isOtherDomain });
  const unpack = createUnpacker();
  const send = (message: LinkMessage) => {
    if (socket.readyState !== socket.OPEN) return;
    const work = meter.begin();
    const packed = pack(message);
    socket.send(packed);
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
  });

  function handleMessage(message: LinkMessage) {
    switch (message.type) {
      case "offer":
      case "body":
      case "body-end":
      case "cancel":
        return calls.handle(message);
      case "event":
      case "pong":
        throw new TypeError(`node that opened the link sent "${message.type}"`);
      case "ping":
        send({ type: "pong", ...opts.status() });
        break;
      case "hello":
        from = message.row.node;
        isOtherDomain = opts.isOtherDomain(message.row.domain);
        break;
      case "rows":
      case "recall":
      case "ask-rows":
      case "ask-operator":
      case "operator":
      case "move-step":
      case "move-report":
      case "move-fault":
        break;
    }
    opts.onGossip(from, message, send);
  }

  socket.on("message", (data) => {
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
  socket.on("close", () => calls.close());
}
