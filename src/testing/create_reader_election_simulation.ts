/**
 * Simulates nodes that read one topic of the store, on a fake clock.
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

/** How the store answers the reads of a node. */
export const StoreMode = {
  Serves: "serves",
  Refuses: "refuses",
  Hangs: "hangs",
} as const;
export type StoreMode = typeof StoreMode[keyof typeof StoreMode];

const STEP_MS = 50;
/** Ping intervals within a failure domain (local) and to others (remote). */
const READER_PING_INTERVALS = { localMs: 1_000, remoteMs: 2_500 };
const IDLE_PING_INTERVALS = { localMs: 2_000, remoteMs: 6_000 };
const TICK_MS = 200;
/** Delay before the next read after a read that returned records. */
const READ_DELAY_MS = 400;
/** Delay before the next read after a refused read. */
const BACKOFF_MS = 150;
/** Time without messages after which a link counts as lost. */
const LINK_TIMEOUT_MS = 2_000;

interface SimulatedNode {
  readonly index: number;
  readonly domain: string;
  state: ReaderElectionState;
  isUp: boolean;
  mode: StoreMode;
  /** Earliest time at which the node reads again. */
  readAt: MonotonicMs;
  /** Start of the pending read. */
  pollAt: MonotonicMs;
  /** Time limit of the pending read. */
  limitMs: number;
  /** Health of the store that was last reported to the decision. */
  reportedHealth: boolean | undefined;
}

/** Options of `createReaderElectionSimulation`. */
export interface CreateReaderElectionSimulationOptions {
  readonly domains: number;
  readonly nodesOfDomain: number;
  /** Ping intervals of nodes that do not read. */
  readonly idlePings?: typeof READER_PING_INTERVALS;
}

export interface ReaderElectionSimulation {
  /** Topic end that each running node has reached. */
  ends(): readonly Offset[];
  /** Running nodes that reach the store, directly or through other nodes. */
  reachable(): ReadonlySet<number>;
  end(node: number): Offset;
  isServed(node: number): boolean;
  storeEnd(): Offset;
  /** Number of nodes of a domain whose reads succeed. */
  readers(domain: number): number;
  /** Number of reads that nodes have started. */
  reads(): number;
  write(): void;
  kill(node: number): void;
  start(node: number): void;
  setMode(node: number, mode: StoreMode): void;
  cut(a: number, b: number): void;
  heal(): void;
  run(ms: number): void;
}

/** Creates the simulation, with all nodes just started. */
export function createReaderElectionSimulation(
  opts: CreateReaderElectionSimulationOptions,
): ReaderElectionSimulation {
  const { idlePings = IDLE_PING_INTERVALS } = opts;
  let now = 0;
  let storeEnd = 1;
  let reads = 0;
  /** Times at which links were cut, by the pair of nodes. */
  const cuts = new Map<string, MonotonicMs>();
  const queued: (() => void)[] = [];
  const nodes: SimulatedNode[] = [];
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
      reportedHealth: undefined,
    });
  }

  function domainOf(index: number): string {
    return `d${index % opts.domains}`;
  }

  function stateOf(index: number): ReaderElectionState {
    const domain = domainOf(index);
    return createReaderElectionState({ self: nameOf(index), domain });
  }

  function nodeAt(index: number): SimulatedNode {
    const node = nodes[index];
    if (node === undefined) throw new TypeError(`no node ${index}`);
    return node;
  }

  function isLinked(a: SimulatedNode, b: SimulatedNode): boolean {
    return a.isUp && b.isUp && !cuts.has(linkKey(a.index, b.index));
  }

  function decide(node: SimulatedNode, event: ReaderElectionEvent) {
    for (const effect of decideReaderElection(node.state, event)) {
      switch (effect.type) {
        case "read":
        case "reconnect":
          reads++;
          node.readAt = now + STEP_MS;
          node.pollAt = now;
          node.limitMs = ANSWER_BOUNDS_MS.shortestMs;
          node.reportedHealth = undefined;
          break;
        case "stop":
          break;
        case "send-status":
          for (const peer of peersOf(node)) ping(node, peer);
          break;
        case "request": {
          const peer = nodes.find(({ state }) => state.self === effect.node);
          if (peer !== undefined) {
            send(node, peer, () => answer(peer, node, -1));
          }
          break;
        }
        case "forward":
          for (const peer of peersOf(node)) answer(node, peer, effect.from);
          for (const peer of relaysOf(node)) {
            answer(node, peer, node.state.end);
          }
          break;
      }
    }
  }

  function peersOf(node: SimulatedNode): SimulatedNode[] {
    return nodes.filter((peer) => peer !== node && peer.domain === node.domain);
  }

  function relaysOf(node: SimulatedNode): SimulatedNode[] {
    const linked = nodes.filter((peer) =>
      peer.domain !== node.domain && isLinked(node, peer)
    );
    return linked.filter((peer) =>
      linked.filter((other) =>
        other.domain === peer.domain && other.index < peer.index
      ).length < RELAY_NODE_COUNT
    );
  }

  /** Delivers in the next step, unless the link is cut by then. */
  function send(from: SimulatedNode, to: SimulatedNode, deliver: () => void) {
    if (!isLinked(from, to)) return;
    queued.push(() => {
      if (isLinked(from, to)) deliver();
    });
  }

  function ping(from: SimulatedNode, to: SimulatedNode) {
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

  function answer(from: SimulatedNode, to: SimulatedNode, pageFrom: Offset) {
    const { end } = from.state;
    const isSameDomain = from.domain === to.domain;
    send(from, to, () => {
      const source = isSameDomain
        ? RecordSource.SameDomain
        : RecordSource.OtherDomain;
      if (pageFrom <= to.state.end) applyRecords(to, end, source);
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

  function applyRecords(
    node: SimulatedNode,
    end: Offset,
    source: RecordSource,
  ) {
    const from = node.state.end;
    if (end <= from) return;
    decide(node, { type: "records-applied", source, from, end, now });
    if (node.state.end < from) throw new TypeError("a node regressed");
  }

  function reportStore(node: SimulatedNode, isHealthy: boolean) {
    if (node.reportedHealth === isHealthy) return;
    node.reportedHealth = isHealthy;
    decide(node, { type: "store-changed", isHealthy, now });
  }

  function pollStore(node: SimulatedNode) {
    if (!node.state.isOn || now < node.readAt) return;
    switch (node.mode) {
      case StoreMode.Serves:
        reportStore(node, true);
        node.pollAt = now;
        node.limitMs = READ_WAIT_MS + ANSWER_BOUNDS_MS.shortestMs;
        if (storeEnd <= node.state.end) return;
        applyRecords(node, storeEnd, RecordSource.Store);
        node.readAt = now + READ_DELAY_MS;
        return;
      case StoreMode.Refuses:
        reads++;
        node.readAt = now + BACKOFF_MS;
        return reportStore(node, false);
      case StoreMode.Hangs:
        if (now - node.pollAt < node.limitMs) return;
        reads++;
        node.pollAt = now;
        node.limitMs = ANSWER_BOUNDS_MS.longestMs;
        return reportStore(node, false);
    }
  }

  function step() {
    now += STEP_MS;
    for (const deliver of queued.splice(0)) deliver();
    for (const node of nodes) {
      if (!node.isUp) continue;
      pollStore(node);
      if (isDue(node, TICK_MS)) decide(node, { type: "ticked", now });
      const isReader = node.state.status === ReaderStatus.Healthy;
      const { localMs, remoteMs } = isReader
        ? READER_PING_INTERVALS
        : idlePings;
      for (const peer of nodes) {
        if (peer === node) continue;
        const isSameDomain = peer.domain === node.domain;
        if (isDue(node, isSameDomain ? localMs : remoteMs)) ping(node, peer);
      }
    }
    for (const [key, since] of cuts) {
      if (now - since !== LINK_TIMEOUT_MS) continue;
      const [a = 0, b = 0] = key.split(" ").map(Number);
      loseLink(nodeAt(a), nodeAt(b));
      loseLink(nodeAt(b), nodeAt(a));
    }
  }

  function isDue(node: SimulatedNode, everyMs: number): boolean {
    return (now + node.index * STEP_MS) % everyMs === 0;
  }

  function loseLink(node: SimulatedNode, peer: SimulatedNode) {
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
      const found = new Set<SimulatedNode>();
      for (const node of nodes) {
        if (node.isUp && node.mode === StoreMode.Serves) found.add(node);
      }
      // The loop also visits the nodes that it adds to the set.
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
      for (const peer of nodes) if (peer !== node) loseLink(peer, node);
    },
    start,
    setMode(index, mode) {
      nodeAt(index).mode = mode;
      nodeAt(index).readAt = now;
    },
    cut(a, b) {
      if (a !== b && !cuts.has(linkKey(a, b))) cuts.set(linkKey(a, b), now);
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

function linkKey(a: number, b: number): string {
  return `${Math.min(a, b)} ${Math.max(a, b)}`;
}
