/**
 * Connections between nodes: WebSocket frames with MessagePack bodies.
 * @module
 */
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import createDebug from "debug";
import { Packr } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import type { NodeId, NodeInfo } from "../core/types.ts";
import { isAuthorized } from "./is_authorized.ts";
import type { PeerMessage } from "./peer_message.ts";

const log = createDebug("lagoon:peers");

/** Options of `createPeerLinks`. */
export interface CreatePeerLinksOptions {
  readonly self: NodeInfo;
  readonly server: Server;
  readonly keys: readonly string[];
  readonly onMessage: (from: NodeId, message: PeerMessage) => void;
}

/** Bytes of control traffic since the start. */
export interface LinkTotals {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  dropped: number;
}

export interface PeerLinks {
  /** Sends, or drops the message when the peer can't take it now. */
  send(to: NodeId, message: PeerMessage): void;
  readonly totals: LinkTotals;
  close(): void;
}

const maxMessageBytes = 16 * 1024 * 1024;
const maxBufferedBytes = 4 * 1024 * 1024;
const maxWaitingMessages = 64;
const redialMs = 500;
const peerPath = "/peer";
const nodeHeader = "lagoon-node";

interface Link {
  readonly socket: WebSocket;
  readonly waiting: Uint8Array[];
}

/** Opens links on demand and takes those that peers open. */
export function createPeerLinks(opts: CreatePeerLinksOptions): PeerLinks {
  const packr = new Packr({ useRecords: false });
  const links = new Map<NodeId, Link>();
  const failedAt = new Map<NodeId, number>();
  const totals: LinkTotals = {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    dropped: 0,
  };
  const wss = new WebSocketServer({
    noServer: true,
    maxPayload: maxMessageBytes,
    perMessageDeflate: false,
  });

  function adopt(peer: NodeId, socket: WebSocket): Link {
    const link: Link = { socket, waiting: [] };
    links.set(peer, link);
    socket.on("open", () => {
      for (const bytes of link.waiting.splice(0)) socket.send(bytes);
    });
    socket.on("message", (data) => {
      const bytes = data as Buffer;
      totals.receivedBytes += bytes.length;
      take(peer, socket, bytes);
    });
    socket.on("error", (err) => {
      log("Link with %s failed: %s.", peer, err.message);
      failedAt.set(peer, performance.now());
    });
    socket.on("close", () => {
      if (links.get(peer) === link) links.delete(peer);
    });
    return link;
  }

  function take(peer: NodeId, socket: WebSocket, bytes: Buffer) {
    try {
      opts.onMessage(peer, packr.unpack(bytes) as PeerMessage);
    } catch (err) {
      log("Message of %s refused: %s.", peer, String(err));
      socket.close(1008, "malformed message");
    }
  }

  function dial(peer: NodeId): Link | undefined {
    const failed = failedAt.get(peer) ?? -Infinity;
    if (performance.now() - failed < redialMs) return undefined;
    const headers: Record<string, string> = { [nodeHeader]: opts.self.id };
    if (opts.keys[0] !== undefined) {
      headers.authorization = `Bearer ${opts.keys[0]}`;
    }
    const socket = new WebSocket(`ws://${peer}${peerPath}`, {
      headers,
      perMessageDeflate: false,
      maxPayload: maxMessageBytes,
    });
    return adopt(peer, socket);
  }

  function upgrade(req: IncomingMessage, socket: Duplex, head: Buffer) {
    const peer = req.headers[nodeHeader];
    const isAllowed = req.url === peerPath && typeof peer === "string" &&
      isAuthorized(req.headers.authorization, opts.keys);
    if (!isAllowed) {
      log("Peer %s refused: wrong key or path.", req.socket.remoteAddress);
      socket.end("HTTP/1.1 401 Unauthorized\r\nconnection: close\r\n\r\n");
      return;
    }
    wss.handleUpgrade(req, socket, head, (ws) => adopt(peer, ws));
  }
  opts.server.on("upgrade", upgrade);

  return {
    totals,
    send(to, message) {
      const link = links.get(to) ?? dial(to);
      if (link === undefined) {
        totals.dropped++;
        return;
      }
      const bytes = packr.pack(message);
      if (!sendBytes(link, bytes)) {
        totals.dropped++;
        return;
      }
      totals.sentMessages++;
      totals.sentBytes += bytes.length;
    },
    close() {
      opts.server.off("upgrade", upgrade);
      for (const link of links.values()) link.socket.terminate();
      wss.close();
    },
  };
}

function sendBytes(link: Link, bytes: Uint8Array): boolean {
  const { socket, waiting } = link;
  switch (socket.readyState) {
    case WebSocket.OPEN:
      if (socket.bufferedAmount > maxBufferedBytes) return false;
      socket.send(bytes);
      return true;
    case WebSocket.CONNECTING:
      if (waiting.length >= maxWaitingMessages) return false;
      waiting.push(bytes);
      return true;
    default:
      return false;
  }
}
