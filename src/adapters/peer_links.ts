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
  PROTOCOL_VERSION,
} from "./peer_message.ts";

const log = createDebug("lagoon:peers");

/** Options of `createPeerLinks`. */
export interface CreatePeerLinksOptions {
  readonly self: NodeInfo;
  readonly server: Server;
  readonly keys: readonly string[];
  readonly onMessage: (from: NodeId, message: PeerMessage) => void;
  /** Returns why a peer is refused, undefined if it is accepted. */
  readonly checkPeer: (info: NodeInfo) => string | undefined;
}

/** Control traffic since the start. */
export interface LinkTotals {
  sentBytes: number;
  receivedBytes: number;
  sentMessages: number;
  dropped: number;
  /** Malformed or oversized messages, and peers of another protocol version. */
  malformed: number;
  /**
   * Refused connections: wrong key, not a peer, another protocol version, a
   * contradiction to the known membership, or too many at the same time.
   */
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
  /** Sends the message, or drops it when the peer can't receive it now. */
  send(to: NodeId, message: PeerMessage): void;
  readonly totals: LinkTotals;
  close(): void;
}

const MAX_MESSAGE_BYTES = 16 * 1024 * 1024;
/** Unsent bytes of a link above which messages are dropped. */
const MAX_BUFFERED_BYTES = 4 * 1024 * 1024;
/** Maximum number of messages that a link keeps until it is open. */
const MAX_WAITING_MESSAGES = 64;
/**
 * Maximum number of peers for which a backoff is kept. The oldest is removed
 * first.
 */
const MAX_FAILING_PEERS = 1_000;
/** Time without messages after which a link is closed. */
const IDLE_CLOSE_MS = 60_000;
const PEER_PATH = "/peer";

/** Headers in which a peer identifies itself when it connects. */
const HELLO_HEADERS = {
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

interface PeerBackoff {
  readonly failures: number;
  readonly retryAt: MonotonicMs;
}

/** Opens links on demand and accepts those that peers open. */
export function createPeerLinks(opts: CreatePeerLinksOptions): PeerLinks {
  const packr = new Packr({ useRecords: false });
  const links = new Map<NodeId, Link>();
  const failing = new Map<NodeId, PeerBackoff>();
  const tokens = createLinkTokens(performance.now());
  const totals = createLinkTotals();
  const wss = new WebSocketServer({
    noServer: true,
    maxPayload: MAX_MESSAGE_BYTES,
    perMessageDeflate: false,
  });

  function addLink(peer: NodeId, socket: WebSocket): Link {
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
      handleMessage(peer, socket, bytes);
    });
    socket.on("error", (err) => recordError(peer, err));
    socket.on("close", () => {
      if (links.get(peer) === link) links.delete(peer);
    });
    return link;
  }

  function recordError(peer: NodeId, err: Error & { code?: string }) {
    // `ws` reports malformed and oversized frames with `WS_ERR` codes.
    if (err.code?.startsWith("WS_ERR") === true) totals.malformed++;
    const failures = (failing.get(peer)?.failures ?? 0) + 1;
    const delayMs = backoffWithFullJitter(failures, Math.random());
    failing.set(peer, { failures, retryAt: performance.now() + delayMs });
    const [oldest] = failing.keys();
    if (failing.size > MAX_FAILING_PEERS && oldest !== undefined) {
      failing.delete(oldest);
    }
    log("Link to peer %s failed: %s.", peer, err.message);
  }

  function handleMessage(peer: NodeId, socket: WebSocket, bytes: Buffer) {
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
    const socket = new WebSocket(`ws://${peer}${PEER_PATH}`, {
      headers: helloHeadersOf(opts.self, opts.keys[0]),
      perMessageDeflate: false,
      maxPayload: MAX_MESSAGE_BYTES,
    });
    return addLink(peer, socket);
  }

  function upgrade(req: IncomingMessage, socket: Duplex, head: Buffer) {
    const peer = infoOf(req);
    const refusal = refusalOf(req, peer);
    if (refusal === undefined) {
      wss.handleUpgrade(req, socket, head, (ws) => addLink(peer.id, ws));
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
    if (req.url !== PEER_PATH || peer.id === "") {
      return { status: "400 Bad Request", reason: "not a peer" };
    }
    const version = req.headers[HELLO_HEADERS.version];
    if (version !== String(PROTOCOL_VERSION)) {
      totals.malformed++;
      const reason = `it speaks protocol ${version}, not ${PROTOCOL_VERSION}`;
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
      if (now - link.usedAt > IDLE_CLOSE_MS) link.socket.close(1000, "idle");
    }
  }
  const timer = setInterval(closeIdle, IDLE_CLOSE_MS / 2);

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

function helloHeadersOf(self: NodeInfo, key: string | undefined) {
  return {
    [HELLO_HEADERS.node]: self.id,
    [HELLO_HEADERS.domain]: encodeURIComponent(self.domain),
    [HELLO_HEADERS.region]: encodeURIComponent(self.region),
    [HELLO_HEADERS.boot]: self.boot,
    [HELLO_HEADERS.version]: String(PROTOCOL_VERSION),
    ...(key === undefined ? {} : { authorization: `Bearer ${key}` }),
  };
}

/** Reads the headers that identify a peer. The id is empty without them. */
function infoOf(req: IncomingMessage): NodeInfo {
  const read = (name: string) => {
    const value = req.headers[name];
    return typeof value === "string" ? decodeHeader(value) : "";
  };
  return {
    id: read(HELLO_HEADERS.node),
    domain: read(HELLO_HEADERS.domain),
    region: read(HELLO_HEADERS.region),
    boot: read(HELLO_HEADERS.boot),
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
      if (socket.bufferedAmount > MAX_BUFFERED_BYTES) return false;
      socket.send(bytes);
      return true;
    case WebSocket.CONNECTING:
      if (waiting.length >= MAX_WAITING_MESSAGES) return false;
      waiting.push(bytes);
      return true;
    default:
      return false;
  }
}
