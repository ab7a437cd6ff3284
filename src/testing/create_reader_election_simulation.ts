/**
 * Nodes that read one topic, on a fake clock, for tests.
 * @module
 */
import type { MonotonicMs, Offset } from "../core/types.ts";
import {
  decideReaderElection,
  RELAY_NODE_COUNT,
} from "../reader_election/decide_reader_election.ts";
import { ANSWER_BOUNDS_MS, READ_WAIT_MS } from "../store/follow_topic.ts";
import {
  createReaderElectionState,
  type ReaderElectionEvent,
  type ReaderElectionState,
  ReaderStatus,
  RecordSource,
} from "../reader_election/state.ts";

/** How the store treats a node. */
export const StoreMode = {
  Serves: "serves",
  Refuses: "refuses",
  Hangs: "hangs",
} as const;
export type StoreMode = typeof StoreMode[keyof typeof StoreMode];

const stepMs = 50;
/** Time between pings within a domain and between domains. */
const readerPings = { nearMs: 1_000, farMs: 2_500 };
const usualPings = { nearMs: 2_000, farMs: 6_000 };
const tickMs = 200;
const pausedMs = 400;
const backOffMs = 150;
/** Silence after which a link is given up. */
const lostMs = 2_000;

interface WorldNode {
  readonly index: number;
  readonly domain: string;
  state: ReaderElectionState;
  isUp: boolean;
  mode: StoreMode;
  /** When its read goes on. */
  readAt: MonotonicMs;
  /** Since when its present read waits, and how long it may take. */
  pollAt: MonotonicMs;
  limitMs: number;
  isTold: boolean | undefined;
}

/** Options of `createReaderElectionSimulation`. */
export interface CreateReaderElectionSimulationOptions {
  readonly domains: number;
  readonly nodesOfDomain: number;
  /** Pings of nodes that don't read. */
  readonly idlePings?: typeof readerPings;
}

export interface ReaderElectionSimulation {
  /** Ends of all nodes that are up. */
  ends(): readonly Offset[];
  /** Nodes that are up and can learn what the store holds. */
  reachable(): ReadonlySet<number>;
  end(node: number): Offset;
  isServed(node: number): boolean;
  storeEnd(): Offset;
  /** Nodes of a domain whose reads succeed. */
  readers(domain: number): number;
  /** Reads that nodes have begun. */
  reads(): number;
  write(): void;
  kill(node: number): void;
  start(node: number): void;
  setMode(node: number, mode: StoreMode): void;
  cut(a: number, b: number): void;
  heal(): void;
  run(ms: number): void;
}

/** Creates the world, with all nodes just started. */
export function createReaderElectionSimulation(
  opts: CreateReaderElectionSimulationOptions,
): ReaderElectionSimulation {
  const { idlePings = usualPings } = opts;
  let now = 0;
  let storeEnd = 1;
  let reads = 0;
  const cuts = new Map<string, MonotonicMs>();
  const waiting: (() => void)[] = [];
  const nodes: WorldNode[] = [];
  for (let index = 0; index < opts.domains * opts.nodesOfDomain; index++) {
    nodes.push({
      index,
      domain: domainOf(index),
      state: stateOf(index),
      isUp: false,
      mode: StoreMode.Serves,
      readAt: 0,
      pollAt: 0,
      limitMs: ANSWER_BOUNDS_MS.shortestMs,
      isTold: undefined,
    });
  }

  function domainOf(index: number): string {
    return `d${index % opts.domains}`;
  }

  function stateOf(index: number): ReaderElectionState {
    const domain = domainOf(index);
    return createReaderElectionState({ self: nameOf(index), domain });
  }

  function nodeAt(index: number): WorldNode {
    const node = nodes[index];
    if (node === undefined) throw new TypeError(`no node ${index}`);
    return node;
  }

  function isLinked(a: WorldNode, b: WorldNode): boolean {
    return a.isUp && b.isUp && !cuts.has(cutOf(a.index, b.index));
  }

  function decide(node: WorldNode, event: ReaderElectionEvent) {
    for (const effect of decideReaderElection(node.state, event)) {
      switch (effect.type) {
        case "read":
        case "reconnect":
          reads++;
          node.readAt = now + stepMs;
          node.pollAt = now;
          node.limitMs = ANSWER_BOUNDS_MS.shortestMs;
          node.isTold = undefined;
          break;
        case "stop":
          break;
        case "send-status":
          for (const peer of nearOf(node)) ping(node, peer);
          break;
        case "request": {
          const peer = nodes.find(({ state }) => state.self === effect.node);
          if (peer !== undefined) {
            send(node, peer, () => answer(peer, node, -1));
          }
          break;
        }
        case "forward":
          for (const peer of nearOf(node)) answer(node, peer, effect.from);
          for (const peer of firstFar(node)) {
            answer(node, peer, node.state.end);
          }
          break;
      }
    }
  }

  function nearOf(node: WorldNode): WorldNode[] {
    return nodes.filter((peer) => peer !== node && peer.domain === node.domain);
  }

  function firstFar(node: WorldNode): WorldNode[] {
    const linked = nodes.filter((peer) =>
      peer.domain !== node.domain && isLinked(node, peer)
    );
    return linked.filter((peer) =>
      linked.filter((other) =>
        other.domain === peer.domain && other.index < peer.index
      ).length < RELAY_NODE_COUNT
    );
  }

  /** Delivers in the next step, unless the link is gone by then. */
  function send(from: WorldNode, to: WorldNode, deliver: () => void) {
    if (!isLinked(from, to)) return;
    waiting.push(() => {
      if (isLinked(from, to)) deliver();
    });
  }

  function ping(from: WorldNode, to: WorldNode) {
    const { status: readerStatus, end, self } = from.state;
    const { domain } = from;
    send(from, to, () =>
      decide(to, {
        type: "peer-status-received",
        node: self,
        domain,
        readerStatus,
        end,
        now,
      }));
  }

  function answer(from: WorldNode, to: WorldNode, pageFrom: Offset) {
    const { end } = from.state;
    const isSameDomain = from.domain === to.domain;
    send(from, to, () => {
      const source = isSameDomain
        ? RecordSource.SameDomain
        : RecordSource.OtherDomain;
      if (pageFrom <= to.state.end) take(to, end, source);
      const peer = to.state.peers.get(from.state.self);
      const readerStatus = peer?.readerStatus ?? ReaderStatus.Idle;
      const node = from.state.self;
      const { domain } = from;
      decide(to, {
        type: "peer-status-received",
        node,
        domain,
        readerStatus,
        end,
        now,
      });
    });
  }

  function take(node: WorldNode, end: Offset, source: RecordSource) {
    const from = node.state.end;
    if (end <= from) return;
    decide(node, { type: "records-applied", source, from, end, now });
    if (node.state.end < from) throw new TypeError("a node regressed");
  }

  function tellStore(node: WorldNode, isHealthy: boolean) {
    if (node.isTold === isHealthy) return;
    node.isTold = isHealthy;
    decide(node, { type: "store-changed", isHealthy, now });
  }

  function poll(node: WorldNode) {
    if (!node.state.isOn || now < node.readAt) return;
    switch (node.mode) {
      case StoreMode.Serves:
        tellStore(node, true);
        node.pollAt = now;
        node.limitMs = READ_WAIT_MS + ANSWER_BOUNDS_MS.shortestMs;
        if (storeEnd <= node.state.end) return;
        take(node, storeEnd, RecordSource.Store);
        node.readAt = now + pausedMs;
        return;
      case StoreMode.Refuses:
        reads++;
        node.readAt = now + backOffMs;
        return tellStore(node, false);
      case StoreMode.Hangs:
        if (now - node.pollAt < node.limitMs) return;
        reads++;
        node.pollAt = now;
        node.limitMs = ANSWER_BOUNDS_MS.longestMs;
        return tellStore(node, false);
    }
  }

  function step() {
    now += stepMs;
    for (const deliver of waiting.splice(0)) deliver();
    for (const node of nodes) {
      if (!node.isUp) continue;
      poll(node);
      if (isDue(node, tickMs)) decide(node, { type: "ticked", now });
      const isReader = node.state.status === ReaderStatus.Healthy;
      const { nearMs, farMs } = isReader ? readerPings : idlePings;
      for (const peer of nodes) {
        if (peer === node) continue;
        const isSameDomain = peer.domain === node.domain;
        if (isDue(node, isSameDomain ? nearMs : farMs)) ping(node, peer);
      }
    }
    for (const [key, since] of cuts) {
      if (now - since !== lostMs) continue;
      const [a = 0, b = 0] = key.split(" ").map(Number);
      lose(nodeAt(a), nodeAt(b));
      lose(nodeAt(b), nodeAt(a));
    }
  }

  function isDue(node: WorldNode, everyMs: number): boolean {
    return (now + node.index * stepMs) % everyMs === 0;
  }

  function lose(node: WorldNode, peer: WorldNode) {
    if (!node.isUp) return;
    decide(node, { type: "peer-lost", node: peer.state.self, now });
  }

  function start(index: number) {
    const node = nodeAt(index);
    if (node.isUp) return;
    node.isUp = true;
    node.state = stateOf(index);
    decide(node, { type: "started", now });
  }

  for (const { index } of nodes) start(index);
  return {
    ends: () => nodes.flatMap(({ isUp, state }) => isUp ? [state.end] : []),
    reachable() {
      const found = new Set<WorldNode>();
      for (const node of nodes) {
        if (node.isUp && node.mode === StoreMode.Serves) found.add(node);
      }
      // A set grows while it is walked.
      for (const node of found) {
        for (const peer of nodes) if (isLinked(node, peer)) found.add(peer);
      }
      return new Set([...found].map(({ index }) => index));
    },
    end: (index) => nodeAt(index).state.end,
    isServed: (index) => nodeAt(index).mode === StoreMode.Serves,
    storeEnd: () => storeEnd,
    readers: (domain) =>
      nodes.filter((node) =>
        node.isUp && node.index % opts.domains === domain &&
        node.state.isOn && node.state.status === ReaderStatus.Healthy
      ).length,
    reads: () => reads,
    write: () => storeEnd++,
    kill(index) {
      const node = nodeAt(index);
      if (!node.isUp) return;
      node.isUp = false;
      for (const peer of nodes) if (peer !== node) lose(peer, node);
    },
    start,
    setMode(index, mode) {
      nodeAt(index).mode = mode;
      nodeAt(index).readAt = now;
    },
    cut(a, b) {
      if (a !== b && !cuts.has(cutOf(a, b))) cuts.set(cutOf(a, b), now);
    },
    heal: () => cuts.clear(),
    run(ms) {
      for (const endAt = now + ms; now < endAt;) step();
    },
  };
}

function nameOf(index: number): string {
  return `n${String(index).padStart(3, "0")}`;
}

function cutOf(a: number, b: number): string {
  return `${Math.min(a, b)} ${Math.max(a, b)}`;
}
