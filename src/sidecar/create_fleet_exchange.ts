/**
 * Carries out the decisions on the fleet: forwards rows and reports of lost
 * nodes, compares digests with neighbors, and opens and closes links.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { decideFleet } from "../fleet/decide_fleet.ts";
import { digestRows } from "../fleet/digest_rows.ts";
import { isHomeExpected } from "../fleet/is_home_expected.ts";
import type { NodeRow } from "../fleet/messages.ts";
import {
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  liveRows,
  ownRow,
} from "../fleet/state.ts";
import { type Gossip, PROTOCOL_VERSION } from "../links/messages.ts";
import { forgetHome } from "../load_balancing/record_home.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { LinkTable } from "./create_link_table.ts";
import { type Outbox, splitRows } from "./create_outbox.ts";
import type { PeerDialer } from "./create_peer_dialer.ts";

/** Time between digests, each of which is sent to the next neighbor. */
const DIGEST_INTERVAL_MS = 3_000;

/** Options of `createFleetExchange`. */
export interface CreateFleetExchangeOptions {
  readonly fleet: FleetState;
  readonly links: LinkTable;
  readonly dialer: () => PeerDialer;
  readonly outbox: Outbox;
  readonly loadBalancing: LoadBalancingState;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  /** Called when a node is reported as lost. */
  readonly onNodeLost: (node: NodeId) => void;
  /** Called with a neighbor that has just been sent a digest. */
  readonly onDigestSent: (node: NodeId) => void;
}

export interface FleetExchange {
  /** Applies an event to the fleet state and carries out its effects. */
  apply(event: FleetEvent): void;
  /** Sends a digest if one is due. Called a few times a second. */
  tick(): void;
  hello(node: NodeId): Gossip;
  /** Requests from a peer, to which a link has opened, what this node lacks. */
  greet(node: NodeId): void;
  /** Sends the rows of failure domains, or of all if undefined. */
  sendRows(
    domains: readonly string[] | undefined,
    reply: (message: Gossip) => void,
  ): void;
  /**
   * Calls back once a link to a home of the service opens. Returns a function
   * that cancels the callback, or undefined if no such link is expected.
   */
  awaitHome(service: string, onReady: () => void): (() => void) | undefined;
}

export function createFleetExchange(
  opts: CreateFleetExchangeOptions,
): FleetExchange {
  const { fleet, links, outbox, now } = opts;
  /** Calls that wait for a link to a home. */
  const homeWaits = new Set<{ service: string; onReady: () => void }>();
  let digestSentAt = now();
  let digestTurn = 0;
  let hasRequestedRows = false;

  function apply(event: FleetEvent) {
    for (const effect of decideFleet(fleet, event)) carryOut(effect);
    if (event.type === "confirmed") callBackWaiting();
  }

  function callBackWaiting() {
    for (const waiting of [...homeWaits]) {
      if (fleet.byService.has(waiting.service)) waiting.onReady();
    }
  }

  function carryOut(effect: FleetEffect) {
    switch (effect.type) {
      case "dial": {
        const { node, isNeighbor } = effect;
        return links.add(node, isNeighbor, () => opts.dialer().dial(node));
      }
      case "set-neighbor":
        links.setNeighbor(effect.node, effect.isNeighbor);
        links.find(effect.node)?.send(hello(effect.node));
        if (effect.isNeighbor) sendDigest(effect.node, false);
        return;
      case "remove-link":
        opts.dialer().forgetExchange(effect.node);
        forgetHome(opts.loadBalancing, effect.node);
        return links.retire(effect.node);
      case "send-hello":
        links.find(effect.node)?.send(hello(effect.node));
        return;
      case "send-own-row": {
        const message: Gossip = { type: "rows", rows: [effect.row] };
        for (const node of links.linkedNodes()) links.send(node, message);
        return;
      }
      case "forward-rows":
        for (const row of effect.rows) outbox.addRow(row, effect.except);
        return;
      case "forward-lost": {
        const { notice, except } = effect;
        const fields = { ...notice, from: except };
        opts.log.write(
          "fleet",
          LogLevel.Info,
          "node reported as lost",
          fields,
        );
        for (const node of links.neighbors()) {
          if (node !== except) links.send(node, { type: "lost", notice });
        }
        return;
      }
      case "correct": {
        const { node, row, notice } = effect;
        if (row !== undefined) links.send(node, { type: "rows", rows: [row] });
        if (notice !== undefined) links.send(node, { type: "lost", notice });
        return;
      }
      case "request-rows": {
        const { node, domains } = effect;
        return links.send(node, { type: "ask-rows", domains });
      }
      case "send-digest":
        return sendDigest(effect.node, true);
      case "probe":
        return links.find(effect.node)?.probe();
      case "node-lost":
        return opts.onNodeLost(effect.node);
      default:
        exhausted(effect);
    }
  }

  function hello(node: NodeId): Gossip {
    return {
      type: "hello",
      protocol: PROTOCOL_VERSION,
      row: ownRow(fleet),
      isNeighbor: links.isNeighbor(node),
    };
  }

  function sendDigest(node: NodeId, isAnswer: boolean) {
    const domains = digestRows(fleet);
    links.send(node, { type: "digest", domains, isAnswer });
  }

  return {
    apply,
    tick() {
      if (now() - digestSentAt < DIGEST_INTERVAL_MS) return;
      digestSentAt = now();
      const neighbors = links.neighbors();
      const next = neighbors[digestTurn++ % neighbors.length];
      if (next === undefined) return;
      sendDigest(next, false);
      opts.onDigestSent(next);
    },
    hello,
    greet(node) {
      // All rows are requested from the first peer, since the store, which lists
      // the nodes, may be unreachable at the start.
      if (!hasRequestedRows) {
        hasRequestedRows = true;
        links.send(node, { type: "ask-rows", domains: undefined });
      } else if (links.isNeighbor(node)) {
        sendDigest(node, false);
      }
    },
    sendRows(domains, reply) {
      const rows = liveRows(fleet).flatMap(({ row, receivedAt }) =>
        domains === undefined || domains.includes(row.domain)
          ? [reduceColdTime(row, now() - receivedAt)]
          : []
      );
      for (const part of splitRows(rows)) reply({ type: "rows", rows: part });
    },
    awaitHome(service, onReady) {
      if (!isHomeExpected(fleet, service)) return undefined;
      const waiting = { service, onReady };
      homeWaits.add(waiting);
      return () => homeWaits.delete(waiting);
    },
  };
}

/** Returns a row with the time that is left of its endpoint's cold start. */
function reduceColdTime(row: NodeRow, elapsedMs: number): NodeRow {
  if (row.endpoint === undefined || row.endpoint.coldMs === 0) return row;
  const coldMs = Math.max(0, row.endpoint.coldMs - elapsedMs);
  return { ...row, endpoint: { ...row.endpoint, coldMs } };
}
