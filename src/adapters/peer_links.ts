/**
 * Connections between nodes: WebSocket frames with MessagePack bodies.
 * @module
 */
import type { IncomingMessage, Server } from "node:http";
import type { Duplex } from "node:stream";
import createDebug from "debug";
import { Packr } from "msgpackr";
import { WebSocket, WebSocketServer } from "ws";
import { formatError } from "../core/errors.ts";
import type { MonotonicMs, NodeId, NodeInfo } from "../core/types.ts";
import { admitLink, createLinkTokens } from "../overlay/admit_link.ts";
import { backoffWithFullJitter } from "../overlay/backoff_with_full_jitter.ts";
import { isAuthorized } from "./is_authorized.ts";
import {
  parsePeerMessage,
  type PeerMessage,
  protocolVersion,
} from "./peer_message.ts";

const log = createDebug("lagoon:peers");

/** Options of `createPeerLinks`. */
export interface CreatePeerLinksOptions {
  readonly self: NodeInfo;
  readonly server: Server;
  readonly keys: readonly string[];
  readonly onMessage: (from: NodeId, message: PeerMessage) => void;
  /** Returns why a peer is refused, when it is. */
  readonly checkPeer: (info: NodeInfo) => string | undefined;
}

/** Control traffic since the start. */
export interface LinkTotals {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  dropped: number;
  /** Messages that were malformed, oversized or of another version. */
  malformed: number;
  /** Connections refused, for their key, their place or their number. */
  refused: number;
}

export function createLinkTotals(): LinkTotals {
  return {
    sentBytes: 0,
    receivedBytes: 0,
    sentMessages: 0,
    dropped: 0,
    malformed: 0,
    refused: 0,
  };
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
const maxFailing = 1_000;
const idleMs = 60_000;
const peerPath = "/peer";

const helloHeader = {
  node: "lagoon-node",
  domain: "lagoon-domain",
  region: "lagoon-region",
  boot: "lagoon-boot",
  version: "lagoon-protocol",
} as const;

interface Link {
  readonly socket: WebSocket;
  readonly waiting: Uint8Array[];
  usedAt: MonotonicMs;
}

interface Failing {
  readonly failures: number;
  readonly retryAt: MonotonicMs;
}

/** Opens links on demand and takes those that peers open. */
export function createPeerLinks(opts: CreatePeerLinksOptions): PeerLinks {
  const packr = new Packr({ useRecords: false });
  const links = new Map<NodeId, Link>();
  const failing = new Map<NodeId, Failing>();
  const tokens = createLinkTokens(performance.now());
  const totals = createLinkTotals();
  const wss = new WebSocketServer({
    noServer: true,
    maxPayload: maxMessageBytes,
    perMessageDeflate: false,
  });

  function adopt(peer: NodeId, socket: WebSocket): Link {
    const link: Link = { socket, waiting: [], usedAt: performance.now() };
    links.set(peer, link);
    socket.on("open", () => {
      failing.delete(peer);
      for (const bytes of link.waiting.splice(0)) socket.send(bytes);
    });
    socket.on("message", (data) => {
      const bytes = data as Buffer;
      totals.receivedBytes += bytes.length;
      link.usedAt = performance.now();
      take(peer, socket, bytes);
    });
    socket.on("error", (err) => noteError(peer, err));
    socket.on("close", () => {
      if (links.get(peer) === link) links.delete(peer);
    });
    return link;
  }

  function noteError(peer: NodeId, err: Error & { code?: string }) {
    // The library reports frames that break its limits by such codes.
    if (err.code?.startsWith("WS_ERR") === true) totals.malformed++;
    const failures = (failing.get(peer)?.failures ?? 0) + 1;
    const pause = backoffWithFullJitter(failures, Math.random());
    failing.set(peer, { failures, retryAt: performance.now() + pause });
    const [oldest] = failing.keys();
    if (failing.size > maxFailing && oldest !== undefined) {
      failing.delete(oldest);
    }
    log("Link with %s failed: %s.", peer, err.message);
  }

  function take(peer: NodeId, socket: WebSocket, bytes: Buffer) {
    const parsed = parsePeerMessage(peer, unpack(bytes));
    if (parsed.isOk()) {
      opts.onMessage(peer, parsed.value);
      return;
    }
    totals.malformed++;
    log("%s", formatError(parsed.error));
    socket.close(1008, "malformed message");
  }

  function unpack(bytes: Buffer): unknown {
    try {
      return packr.unpack(bytes);
    } catch {
      return undefined;
    }
  }

  function dial(peer: NodeId): Link | undefined {
    const retryAt = failing.get(peer)?.retryAt ?? -Infinity;
    if (performance.now() < retryAt) return undefined;
    const socket = new WebSocket(`ws://${peer}${peerPath}`, {
      headers: helloOf(opts.self, opts.keys[0]),
      perMessageDeflate: false,
      maxPayload: maxMessageBytes,
    });
    return adopt(peer, socket);
  }

  function upgrade(req: IncomingMessage, socket: Duplex, head: Buffer) {
    const peer = infoOf(req);
    const refusal = refusalOf(req, peer);
    if (refusal === undefined) {
      wss.handleUpgrade(req, socket, head, (ws) => adopt(peer.id, ws));
      return;
    }
    totals.refused++;
    log("Peer %s refused: %s.", peer.id, refusal.reason);
    const { status, reason } = refusal;
    socket.on("error", () => {});
    socket.end(`HTTP/1.1 ${status}\r\nconnection: close\r\n\r\n${reason}\n`);
  }

  function refusalOf(req: IncomingMessage, peer: NodeInfo) {
    if (!isAuthorized(req.headers.authorization, opts.keys)) {
      return { status: "401 Unauthorized", reason: "wrong key" };
    }
    if (req.url !== peerPath || peer.id === "") {
      return { status: "400 Bad Request", reason: "not a peer" };
    }
    const version = req.headers[helloHeader.version];
    if (version !== String(protocolVersion)) {
      totals.malformed++;
      const reason = `it speaks protocol ${version}, not ${protocolVersion}`;
      return { status: "426 Upgrade Required", reason };
    }
    const reason = opts.checkPeer(peer);
    if (reason !== undefined) return { status: "409 Conflict", reason };
    if (admitLink(tokens, performance.now())) return undefined;
    return {
      status: "503 Service Unavailable",
      reason: "too many peers connect at once",
    };
  }
  opts.server.on("upgrade", upgrade);

  function closeIdle() {
    const now = performance.now();
    for (const link of links.values()) {
      if (now - link.usedAt > idleMs) link.socket.close(1000, "idle");
    }
  }
  const timer = setInterval(closeIdle, idleMs / 2);

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
      link.usedAt = performance.now();
      totals.sentMessages++;
      totals.sentBytes += bytes.length;
    },
    close() {
      clearInterval(timer);
      opts.server.off("upgrade", upgrade);
      for (const link of links.values()) link.socket.terminate();
      wss.close();
    },
  };
}

function helloOf(self: NodeInfo, key: string | undefined) {
  return {
    [helloHeader.node]: self.id,
    [helloHeader.domain]: encodeURIComponent(self.domain),
    [helloHeader.region]: encodeURIComponent(self.region),
    [helloHeader.boot]: self.boot,
    [helloHeader.version]: String(protocolVersion),
    ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
  };
}

/** Reads what a peer says of itself. The id is empty when it says nothing. */
function infoOf(req: IncomingMessage): NodeInfo {
  const read = (name: string) => {
    const value = req.headers[name];
    return typeof value === "string" ? decodeHeader(value) : "";
  };
  return {
    id: read(helloHeader.node),
    domain: read(helloHeader.domain),
    region: read(helloHeader.region),
    boot: read(helloHeader.boot),
  };
}

function decodeHeader(value: string): string {
  try {
    return decodeURIComponent(value);
  } catch {
    return "";
  }
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
