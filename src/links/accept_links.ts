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

/** Largest message. Bodies travel in parts far smaller than that. */
const maxMessageBytes = 16 * 1_024 * 1_024;

/** Options of `acceptLinks`. */
export interface AcceptLinksOptions {
  readonly home: Home;
  readonly report: (route?: string) => QueueReport;
  readonly status: () => NodeStatus;
  readonly lagMs: () => number;
  readonly now: () => MonotonicMs;
  readonly meter: WorkMeter;
  /** Whether a call that has so much time left is still taken. */
  readonly canTake: (leftMs: number) => boolean;
  /** Answers gossip through `reply`. The sender is known after its hello. */
  readonly onGossip: (
    from: NodeId | undefined,
    message: Gossip,
    reply: (message: Gossip) => void,
  ) => void;
  /** Whether bytes to a node of this failure domain are dear. */
  readonly isFar: (domain: string) => boolean;
  readonly onError: (reason: string, from: NodeId | undefined) => void;
}

export interface AcceptedLinks {
  readonly server: Server;
  /** Bytes that other nodes have not taken yet. */
  unsentBytes(): number;
  close(): void;
}

/** Creates the server of links. It listens where the caller tells it to. */
export function acceptLinks(opts: AcceptLinksOptions): AcceptedLinks {
  const server = createServer((_req, res) => {
    res.writeHead(404).end();
  });
  const wss = new WebSocketServer({
    server,
    maxPayload: maxMessageBytes,
    perMessageDeflate: false,
    skipUTF8Validation: true,
  });
  // Errors of the server itself are reported where it is told to listen.
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
  let isFar = false;
  const pack = createPacker({ isCompressing: () => isFar });
  const unpack = createUnpacker();
  const send = (message: LinkMessage) => {
    if (socket.readyState !== socket.OPEN) return;
    const work = meter.begin();
    const packed = pack(message);
    socket.send(packed);
    meter.endMessage(work, MessageDirection.Sent, message.type, packed.length);
  };
  const { home, report, lagMs, now, canTake, meter } = opts;
  const calls = serveLink({ home, report, lagMs, now, canTake, send });

  function take(message: LinkMessage) {
    switch (message.type) {
      case "offer":
      case "body":
      case "body-end":
      case "cancel":
        return calls.take(message);
      case "event":
      case "pong":
        throw new TypeError(`${message.type} came from a caller`);
      case "ping":
        send({ type: "pong", ...opts.status() });
        break;
      case "hello":
        from = message.row.node;
        isFar = opts.isFar(message.row.domain);
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
      take(message);
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
