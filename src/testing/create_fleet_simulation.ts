/**
 * Simulation of the decisions of a whole fleet, with links that open, fail and
 * are cut. One step delivers each message that was sent in the step before.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { decideFleet } from "../fleet/decide_fleet.ts";
import { digestRows } from "../fleet/digest_rows.ts";
import type { NodeRow } from "../fleet/messages.ts";
import {
  createFleetState,
  type FleetEffect,
  type FleetEvent,
  type FleetState,
  liveRows,
  ownRow,
} from "../fleet/state.ts";

export const STEP_MS = 50;

/** Steps between the ticks of a node, and between its digests. */
const TICK_STEPS = 4;
const DIGEST_STEPS = 60;

/** Steps until an attempt to reach a node that does not answer fails. */
const TIMEOUT_STEPS = 20;

/** Steps between an attempt that failed and the next. */
const REDIAL_STEPS = 8;

interface Link {
  isOpen: boolean;
  isNeighbor: boolean;
  /** Step of the next attempt to open the link. */
  nextAt: number;
}

interface SimNode {
  readonly id: string;
  readonly domain: string;
  state: FleetState;
  isRunning: boolean;
  /** Links from this node. */
  links: Map<string, Link>;
  hasRequestedRows: boolean;
}

/** Options of `createFleetSimulation`. */
export interface CreateFleetSimulationOptions {
  readonly domains: number;
  readonly nodesOfDomain: number;
  readonly services: readonly string[];
}

export interface FleetSimulation {
  readonly nodes: readonly SimNode[];
  run(ms: number): void;
  kill(index: number): void;
  /** Starts a process, whose clock may be behind that of an earlier one. */
  start(index: number, clockMs?: number): void;
  /** Changes the endpoint of a node. */
  changeRow(index: number): void;
  /** Cuts the nodes for which `isCut` returns true off from the others. */
  cut(isCut: (index: number) => boolean): void;
  heal(): void;
  /** Number of messages between nodes so far. */
  messages(): number;
  /** Nodes that know the present row of a node. */
  knowing(index: number): number;
  /** Pairs of running nodes of which one lacks the present row of the other. */
  disagreements(): readonly string[];
  /** Links from a node and to it that are open. */
  degree(index: number): { readonly neighbors: number; readonly all: number };
}

/** Creates a fleet whose nodes have not started. All learn of all by the store. */
export function createFleetSimulation(
  opts: CreateFleetSimulationOptions,
): FleetSimulation {
  const count = opts.domains * opts.nodesOfDomain;
  let step = 0;
  let lives = 0;
  let messages = 0;
  let isCut: (index: number) => boolean = () => false;
  let due: (() => void)[] = [];
  const nodes = Array.from({ length: count }, (_, index): SimNode => {
    const id = `10.0.${Math.floor(index / 100)}.${index % 100}:7600`;
    const domain = `d${index % opts.domains}`;
    const state = createFleetState({
      self: id,
      domain,
      life: "",
      startedAt: 0,
    });
    return {
      id,
      domain,
      state,
      isRunning: false,
      links: new Map(),
      hasRequestedRows: false,
    };
  });
  const byId = new Map(nodes.map((node, index) => [node.id, { node, index }]));

  function now() {
    return step * STEP_MS;
  }

  function indexOf(node: SimNode): number {
    return byId.get(node.id)?.index ?? -1;
  }

  function canReach(from: SimNode, to: SimNode): boolean {
    return from.isRunning && to.isRunning &&
      isCut(indexOf(from)) === isCut(indexOf(to));
  }

  function decide(node: SimNode, event: FleetEvent) {
    for (const effect of decideFleet(node.state, event)) apply(node, effect);
  }

  /** Sends a message over an open link in either direction. */
  function send(from: SimNode, to: string, receive: (node: SimNode) => void) {
    const target = byId.get(to)?.node;
    if (target === undefined) return;
    const isLinked = from.links.get(to)?.isOpen === true ||
      target.links.get(from.id)?.isOpen === true;
    if (!isLinked) return;
    messages++;
    const { state } = target;
    due.push(() => {
      if (canReach(from, target) && target.state === state) receive(target);
    });
  }

  function neighborsOf(node: SimNode): string[] {
    const found = new Set<string>();
    for (const [id, link] of node.links) {
      if (link.isOpen && link.isNeighbor) found.add(id);
    }
    for (const other of nodes) {
      const link = other.links.get(node.id);
      if (link?.isOpen === true && link.isNeighbor) found.add(other.id);
    }
    return [...found];
  }

  function sendRows(from: SimNode, to: string, rows: readonly NodeRow[]) {
    send(from, to, (target) => {
      decide(target, {
        type: "rows-received",
        rows,
        from: from.id,
        now: now(),
      });
      const own = rows.find((row) => row.node === from.id);
      if (own === undefined || target.links.get(from.id)?.isOpen !== true) {
        return;
      }
      decide(target, { type: "confirmed", row: own, now: now() });
    });
  }

  function sendHello(from: SimNode, to: string) {
    const row = ownRow(from.state);
    send(from, to, (target) => {
      decide(target, { type: "hello-received", row, now: now() });
      sendRows(target, from.id, [ownRow(target.state)]);
    });
  }

  function sendDigest(from: SimNode, to: string, isAnswer: boolean) {
    const domains = digestRows(from.state);
    send(from, to, (target) =>
      decide(target, {
        type: "digest-received",
        from: from.id,
        domains,
        isAnswer,
      }));
  }

  function requestRows(
    from: SimNode,
    to: string,
    domains: readonly string[] | undefined,
  ) {
    send(from, to, (target) => {
      const rows = liveRows(target.state).map(({ row }) => row)
        .filter((row) => domains === undefined || domains.includes(row.domain));
      sendRows(target, from.id, rows);
    });
  }

  function apply(node: SimNode, effect: FleetEffect) {
    switch (effect.type) {
      case "dial":
        node.links.set(effect.node, {
          isOpen: false,
          isNeighbor: effect.isNeighbor,
          nextAt: step,
        });
        return;
      case "set-neighbor": {
        const link = node.links.get(effect.node);
        if (link !== undefined) link.isNeighbor = effect.isNeighbor;
        sendHello(node, effect.node);
        if (effect.isNeighbor) sendDigest(node, effect.node, false);
        return;
      }
      case "remove-link":
        node.links.delete(effect.node);
        return;
      case "send-hello":
        return sendHello(node, effect.node);
      case "send-own-row":
        for (const other of nodes) sendRows(node, other.id, [effect.row]);
        return;
      case "forward-rows":
        for (const id of neighborsOf(node)) {
          if (id !== effect.except) sendRows(node, id, effect.rows);
        }
        return;
      case "forward-lost": {
        const { notice, except } = effect;
        for (const id of neighborsOf(node)) {
          if (id !== except) sendLost(node, id, notice);
        }
        return;
      }
      case "correct":
        if (effect.row !== undefined) sendRows(node, effect.node, [effect.row]);
        if (effect.notice !== undefined) {
          sendLost(node, effect.node, effect.notice);
        }
        return;
      case "request-rows":
        return requestRows(node, effect.node, effect.domains);
      case "send-digest":
        return sendDigest(node, effect.node, true);
      case "probe":
      case "node-lost":
        return;
      default:
        exhausted(effect);
    }
  }

  function sendLost(
    from: SimNode,
    to: string,
    notice: Extract<FleetEffect, { type: "forward-lost" }>["notice"],
  ) {
    send(from, to, (target) =>
      decide(target, {
        type: "lost-received",
        notice,
        from: from.id,
        now: now(),
      }));
  }

  function checkLinks(node: SimNode) {
    for (const [id, link] of node.links) {
      const peer = byId.get(id)?.node;
      if (peer === undefined) continue;
      if (link.isOpen) {
        if (canReach(node, peer)) continue;
        link.isOpen = false;
        link.nextAt = step + REDIAL_STEPS;
        decide(node, { type: "unlinked", node: id, now: now() });
        decide(node, { type: "dial-failed", node: id, now: now() });
        continue;
      }
      if (step < link.nextAt) continue;
      if (canReach(node, peer)) {
        link.isOpen = true;
        greet(node, id, link);
        continue;
      }
      link.nextAt = step + (peer.isRunning ? TIMEOUT_STEPS : REDIAL_STEPS);
      decide(node, { type: "dial-failed", node: id, now: now() });
    }
  }

  function greet(node: SimNode, id: string, link: Link) {
    sendHello(node, id);
    if (!node.hasRequestedRows) {
      node.hasRequestedRows = true;
      requestRows(node, id, undefined);
    } else if (link.isNeighbor) {
      sendDigest(node, id, false);
    }
  }

  function runStep() {
    step++;
    const received = due;
    due = [];
    for (const receive of received) receive();
    for (const [index, node] of nodes.entries()) {
      if (!node.isRunning) continue;
      checkLinks(node);
      if ((step + index) % TICK_STEPS === 0) {
        decide(node, { type: "ticked", leaders: new Set(), now: now() });
      }
      if ((step + index) % DIGEST_STEPS !== 0) continue;
      const neighbors = neighborsOf(node);
      const next =
        neighbors[Math.floor(step / DIGEST_STEPS) % neighbors.length];
      if (next !== undefined) sendDigest(node, next, false);
    }
  }

  function presentRow(index: number): NodeRow | undefined {
    const node = nodes[index];
    return node?.isRunning === true ? ownRow(node.state) : undefined;
  }

  function knows(node: SimNode, row: NodeRow): boolean {
    return liveRows(node.state).some((known) =>
      known.row.node === row.node && known.row.life === row.life &&
      known.row.revision === row.revision
    );
  }

  return {
    nodes,
    run(ms) {
      for (let at = 0; at < ms; at += STEP_MS) runStep();
    },
    kill(index) {
      const node = nodes[index];
      if (node === undefined) return;
      node.isRunning = false;
      node.links.clear();
    },
    start(index, clockMs = now()) {
      const node = nodes[index];
      if (node === undefined || node.isRunning) return;
      const { id: self, domain } = node;
      const life = `life-${++lives}`;
      node.state = createFleetState({ self, domain, life, startedAt: clockMs });
      node.isRunning = true;
      node.links = new Map();
      node.hasRequestedRows = false;
      decide(node, {
        type: "nodes-found",
        nodes: nodes.map(({ id, domain }) => ({ node: id, domain })),
        now: now(),
      });
      const { services } = opts;
      decide(node, { type: "services-listed", services, now: now() });
      this.changeRow(index);
    },
    changeRow(index) {
      const node = nodes[index];
      if (node === undefined || !node.isRunning) return;
      const service = opts.services[index % opts.services.length] ?? "";
      const endpoint = {
        id: `i-${index}`,
        service,
        version: "v1",
        slots: 4,
        coldMs: 0,
      };
      decide(node, { type: "row-changed", endpoint, gone: [], now: now() });
    },
    cut(next) {
      isCut = next;
    },
    heal() {
      isCut = () => false;
    },
    messages: () => messages,
    knowing(index) {
      const row = presentRow(index);
      if (row === undefined) return 0;
      return nodes.filter((node) => node.isRunning && knows(node, row)).length;
    },
    disagreements() {
      const present = nodes.flatMap((_, index) => presentRow(index) ?? []);
      return nodes.flatMap((node) =>
        node.isRunning
          ? present.filter((row) => !knows(node, row))
            .map((row) => `${node.id} lacks ${row.node}`)
          : []
      );
    },
    degree(index) {
      const node = nodes[index];
      if (node === undefined) return { neighbors: 0, all: 0 };
      const own = [...node.links].flatMap(([id, { isOpen }]) =>
        isOpen ? [id] : []
      );
      const accepted = nodes.flatMap((other) =>
        other.links.get(node.id)?.isOpen === true ? [other.id] : []
      );
      return {
        neighbors: neighborsOf(node).length,
        all: new Set([...own, ...accepted]).size,
      };
    },
  };
}
