/**
 * Delivers the records that operators write to this node, from the store or
 * from peers, and forwards them to the nodes of its failure domain.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { formatError } from "../core/errors.ts";
import type { MonotonicMs, NodeId, Offset } from "../core/types.ts";
import type { Gossip } from "../links/messages.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { decideReaderElection } from "../reader_election/decide_reader_election.ts";
import {
  createReaderElectionState,
  type ReaderElectionEffect,
  type ReaderElectionEvent,
  ReaderStatus,
  RecordSource,
} from "../reader_election/state.ts";
import { followTopic } from "../store/follow_topic.ts";
import { eraOf } from "../store/position.ts";
import type { KeyedRecord } from "../store/state.ts";
import type { EraStore } from "../store/track_era.ts";
import type { OperatorReader } from "./read_operator.ts";

/** Message that carries operators' records between nodes. */
type OperatorPage = Extract<Gossip, { type: "operator" }>;

/**
 * Time for which the answer to a request for records is awaited before another
 * neighbor is asked, in milliseconds.
 */
const REQUEST_TIMEOUT_MS = 300;

/** Records of a page that only states an offset. */
const NO_RECORDS: readonly KeyedRecord[] = [];

/** How the feed sends messages to other nodes. */
export interface FeedPeers {
  domainOf(node: NodeId): string | undefined;
  /** Whether a message can be sent to a node. */
  canSend(node: NodeId): boolean;
  send(node: NodeId, message: Gossip): void;
  /** Nodes that this node exchanges the state of the fleet with. */
  neighbors(): readonly NodeId[];
  /** Announces this node's status to the whole fleet. */
  sendStatus(): void;
}

/** Options of `createOperatorFeed`. */
export interface CreateOperatorFeedOptions {
  readonly self: NodeId;
  readonly domain: string;
  readonly store: EraStore;
  readonly topic: string;
  readonly operator: OperatorReader;
  readonly peers: () => FeedPeers;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
}

/** Reader status of a peer, from its ping. */
export interface PeerReaderStatus {
  readonly node: NodeId;
  /** Failure domain, once its row is known. */
  readonly domain: string | undefined;
  readonly readerStatus: ReaderStatus;
  /**
   * Offset up to which the peer has read the operators' topic. Undefined keeps
   * the one known before.
   */
  readonly end: Offset | undefined;
}

export interface OperatorFeed {
  readerStatus(): ReaderStatus;
  end(): Offset;
  /** Page with the newest record of each key that came after an offset. */
  page(from: Offset): OperatorPage;
  handlePeerStatus(status: PeerReaderStatus): void;
  handlePeerLost(node: NodeId): void;
  handlePage(page: OperatorPage, from: NodeId | undefined): void;
  tick(): void;
  /** Reads the newest record of each key again, if this node reads. */
  restart(): void;
  start(): void;
  close(): void;
}

/** Creates a feed that has not read any record yet. */
export function createOperatorFeed(
  opts: CreateOperatorFeedOptions,
): OperatorFeed {
  const { operator, log, now } = opts;
  const { self, domain } = opts;
  const state = createReaderElectionState({ self, domain });
  /** Offset that the neighbors were last told of. */
  let announcedEnd = -1;
  let requestedAt = -Infinity;

  const follower = followTopic({
    store: opts.store,
    topic: opts.topic,
    from: operator.end,
    onRecords(records, end, isComplete) {
      const from = isComplete ? -1 : operator.end();
      const page = { type: "operator", from, records, end } as const;
      acceptPage(page, RecordSource.Store, undefined);
    },
    onHealth(err) {
      if (err === undefined) log.write("store", LogLevel.Info, "reads succeed");
      else {
        const reason = formatError(err);
        const fields = { reason, end: operator.end() };
        log.write("store", LogLevel.Warn, "store reads fail", fields);
      }
      const isHealthy = err === undefined;
      decide({ type: "store-changed", isHealthy, now: now() });
    },
    now,
    random: opts.random,
  });

  /** Applies a page that begins at or before the end of the records read. */
  function acceptPage(
    page: OperatorPage,
    source: RecordSource,
    sender: NodeId | undefined,
  ) {
    const { records, end } = page;
    const from = operator.end();
    if (end <= from) return;
    // A node that does not read the store learns from peers that it was
    // restored.
    opts.store.observe(eraOf(end));
    log.write("config", LogLevel.Info, "operator records applied", {
      source,
      from,
      end,
    });
    operator.applyRecords(records, end, page.from < 0);
    requestedAt = -Infinity;
    decide({ type: "records-applied", source, from, end, now: now() });
    if (source !== RecordSource.Store) announceEnd(sender);
  }

  /** Tells the neighbors of the newest offset; they request what they lack. */
  function announceEnd(except: NodeId | undefined) {
    const end = operator.end();
    if (end <= announcedEnd) return;
    announcedEnd = end;
    const { send, neighbors } = opts.peers();
    const page = {
      type: "operator",
      from: end,
      end,
      records: NO_RECORDS,
    } as const;
    for (const node of neighbors()) if (node !== except) send(node, page);
  }

  function request(node: NodeId) {
    requestedAt = now();
    const from = operator.end();
    opts.peers().send(node, { type: "ask-operator", from });
  }

  /** Returns the node, or a neighbor if no message can be sent to it. */
  function reachable(node: NodeId): NodeId | undefined {
    const { canSend, neighbors, domainOf } = opts.peers();
    if (canSend(node)) return node;
    const all = neighbors();
    return all.find((one) => domainOf(one) === domain) ?? all[0];
  }

  function decide(event: ReaderElectionEvent) {
    for (const effect of decideReaderElection(state, event)) apply(effect);
  }

  function apply(effect: ReaderElectionEffect) {
    switch (effect.type) {
      case "read":
        log.write("config", LogLevel.Info, "store reads started");
        return follower.read();
      case "stop":
        log.write(
          "config",
          LogLevel.Info,
          "store reads stopped: other nodes of the failure domain read",
        );
        return follower.stop();
      case "reconnect":
        log.write(
          "config",
          LogLevel.Warn,
          "store read lags behind peers; reconnecting",
          {
            end: state.end,
          },
        );
        return follower.reconnect();
      case "send-status":
        return opts.peers().sendStatus();
      case "request": {
        const { node } = effect;
        log.write(
          "config",
          LogLevel.Warn,
          "peer has newer records; requesting them",
          { peer: node },
        );
        const target = reachable(node);
        if (target !== undefined) request(target);
        return;
      }
      case "forward":
        return announceEnd(undefined);
      default:
        exhausted(effect);
    }
  }

  function pageFrom(from: Offset): OperatorPage {
    return { type: "operator", ...operator.since(from) };
  }

  return {
    readerStatus: () => state.status,
    end: operator.end,
    page: pageFrom,
    handlePeerStatus(status) {
      const end = status.end ?? state.peers.get(status.node)?.end ?? -1;
      decide({ type: "peer-status-received", ...status, end, now: now() });
    },
    handlePeerLost: (node) => decide({ type: "peer-lost", node, now: now() }),
    handlePage(page, node) {
      const domain = node === undefined
        ? undefined
        : opts.peers().domainOf(node);
      // A page that begins after this node's offset is not applied, but shows
      // that the sender has newer records. Records of other domains are requested
      // later, since traffic between domains is expensive.
      if (page.from <= operator.end()) {
        const isSameDomain = domain === opts.domain;
        const source = isSameDomain
          ? RecordSource.SameDomain
          : RecordSource.OtherDomain;
        acceptPage(page, source, node);
      } else if (
        node !== undefined && domain === opts.domain &&
        now() - requestedAt >= REQUEST_TIMEOUT_MS
      ) {
        request(node);
      }
      if (node === undefined) return;
      const readerStatus = state.peers.get(node)?.readerStatus ??
        ReaderStatus.Idle;
      const { end } = page;
      decide({
        type: "peer-status-received",
        node,
        domain,
        readerStatus,
        end,
        now: now(),
      });
    },
    tick: () => decide({ type: "ticked", now: now() }),
    restart: () => follower.reconnect(),
    start: () => decide({ type: "started", now: now() }),
    close: () => follower.close(),
  };
}
