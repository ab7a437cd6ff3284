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
import type { KeyedRecord, KeyedStore } from "../store/state.ts";
import type { OperatorReader } from "./read_operator.ts";

/** Message that carries operators' records between nodes. */
type OperatorPage = Extract<Gossip, { type: "operator" }>;

/** How the feed sends messages to other nodes. */
export interface FeedPeers {
  domainOf(node: NodeId): string | undefined;
  send(node: NodeId, message: Gossip): void;
  /** Sends a message to all linked nodes of this failure domain. */
  sendToDomain(message: Gossip): void;
  /** Sends a message to the first linked nodes of each other failure domain. */
  sendToRemoteRelays(message: Gossip): void;
  /** Pings all linked nodes of this failure domain. */
  pingDomain(): void;
}

/** Options of `createOperatorFeed`. */
export interface CreateOperatorFeedOptions {
  readonly self: NodeId;
  readonly domain: string;
  readonly store: KeyedStore;
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
  /** Offset up to which the peer has read the operators' topic. */
  readonly end: Offset;
}

export interface OperatorFeed {
  readerStatus(): ReaderStatus;
  end(): Offset;
  /**
   * Page with the newest record of each key, for a node that has no records.
   */
  page(): OperatorPage;
  handlePeerStatus(status: PeerReaderStatus): void;
  handlePeerLost(node: NodeId): void;
  handlePage(page: OperatorPage, from: NodeId | undefined): void;
  tick(): void;
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

  const follower = followTopic({
    store: opts.store,
    topic: opts.topic,
    from: operator.end,
    onRecords: (records, end) =>
      acceptRecords(records, end, RecordSource.Store),
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

  function acceptRecords(
    records: readonly KeyedRecord[],
    end: Offset,
    source: RecordSource,
  ) {
    const from = operator.end();
    if (end <= from) return;
    log.write("config", LogLevel.Info, "operator records applied", {
      source,
      from,
      end,
    });
    operator.applyRecords(records, end);
    decide({ type: "records-applied", source, from, end, now: now() });
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
        return opts.peers().pingDomain();
      case "request": {
        const { node } = effect;
        log.write(
          "config",
          LogLevel.Warn,
          "peer has newer records; requesting them",
          { peer: node },
        );
        return opts.peers().send(node, { type: "ask-operator" });
      }
      case "forward":
        opts.peers().sendToDomain(pageFrom(effect.from));
        // A page without records only states the newest offset.
        return opts.peers().sendToRemoteRelays(pageFrom(operator.end()));
      default:
        exhausted(effect);
    }
  }

  function pageFrom(from: Offset): OperatorPage {
    const records = operator.since(from);
    return { type: "operator", from, records, end: operator.end() };
  }

  return {
    readerStatus: () => state.status,
    end: operator.end,
    page: () => pageFrom(-1),
    handlePeerStatus: (status) =>
      decide({ type: "peer-status-received", ...status, now: now() }),
    handlePeerLost: (node) => decide({ type: "peer-lost", node, now: now() }),
    handlePage(page, node) {
      const domain = node === undefined
        ? undefined
        : opts.peers().domainOf(node);
      // A page that begins after this node's offset is not applied, but shows
      // that the sender has newer records.
      if (page.from <= operator.end()) {
        const isSameDomain = domain === opts.domain;
        const source = isSameDomain
          ? RecordSource.SameDomain
          : RecordSource.OtherDomain;
        acceptRecords(page.records, page.end, source);
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
    start: () => decide({ type: "started", now: now() }),
    close: () => follower.close(),
  };
}
