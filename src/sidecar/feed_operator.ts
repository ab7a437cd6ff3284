/**
 * Brings what operators write to this node and on to its failure domain.
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

/** Records of operators as they travel between nodes. */
type OperatorPage = Extract<Gossip, { type: "operator" }>;

/** Ways to other nodes. */
export interface FeedPeers {
  domainOf(node: NodeId): string | undefined;
  send(node: NodeId, message: Gossip): void;
  /** Tells all linked nodes of the own failure domain. */
  tellNear(message: Gossip): void;
  /** Tells the first linked nodes of each other failure domain. */
  tellFirstFar(message: Gossip): void;
  /** Pings all linked nodes of the own failure domain. */
  pingNear(): void;
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

/** What a peer says of itself. */
export interface PeerReaderStatus {
  readonly node: NodeId;
  /** Failure domain, once its row is known. */
  readonly domain: string | undefined;
  readonly readerStatus: ReaderStatus;
  readonly end: Offset;
}

export interface OperatorFeed {
  readerStatus(): ReaderStatus;
  end(): Offset;
  /** All that a node needs which knows nothing. */
  page(): OperatorPage;
  hear(word: PeerReaderStatus): void;
  lose(node: NodeId): void;
  take(page: OperatorPage, from: NodeId | undefined): void;
  tick(): void;
  start(): void;
  close(): void;
}

/** Creates a feed that has read nothing. */
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
    onRecords: (records, end) => accept(records, end, RecordSource.Store),
    onHealth(err) {
      if (err === undefined) log.write("store", LogLevel.Info, "regained");
      else {
        const reason = formatError(err);
        const fields = { reason, end: operator.end() };
        log.write("store", LogLevel.Warn, "lost", fields);
      }
      const isHealthy = err === undefined;
      decide({ type: "store-changed", isHealthy, now: now() });
    },
    now,
    random: opts.random,
  });

  function accept(
    records: readonly KeyedRecord[],
    end: Offset,
    source: RecordSource,
  ) {
    const from = operator.end();
    if (end <= from) return;
    log.write("config", LogLevel.Info, "records taken", { source, from, end });
    operator.take(records, end);
    decide({ type: "records-taken", source, from, end, now: now() });
  }

  function decide(event: ReaderElectionEvent) {
    for (const effect of decideReaderElection(state, event)) apply(effect);
  }

  function apply(effect: ReaderElectionEffect) {
    switch (effect.type) {
      case "read":
        log.write("config", LogLevel.Info, "reads the store");
        return follower.read();
      case "rest":
        log.write("config", LogLevel.Info, "leaves the store to peers");
        return follower.stop();
      case "reconnect":
        log.write("config", LogLevel.Warn, "own read is behind", {
          end: state.end,
        });
        return follower.reconnect();
      case "tell":
        return opts.peers().pingNear();
      case "ask": {
        const { node } = effect;
        log.write("config", LogLevel.Warn, "peer is ahead", { peer: node });
        return opts.peers().send(node, { type: "ask-operator" });
      }
      case "pass-on":
        opts.peers().tellNear(pageFrom(effect.from));
        // A page without records says how far they go.
        return opts.peers().tellFirstFar(pageFrom(operator.end()));
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
    hear: (word) => decide({ type: "peer-heard", ...word, now: now() }),
    lose: (node) => decide({ type: "peer-lost", node, now: now() }),
    take(page, node) {
      const domain = node === undefined
        ? undefined
        : opts.peers().domainOf(node);
      // A page that begins further on says that its sender is ahead.
      if (page.from <= operator.end()) {
        const isSameDomain = domain === opts.domain;
        const source = isSameDomain
          ? RecordSource.SameDomain
          : RecordSource.OtherDomain;
        accept(page.records, page.end, source);
      }
      if (node === undefined) return;
      const readerStatus = state.peers.get(node)?.readerStatus ??
        ReaderStatus.Idle;
      const { end } = page;
      decide({
        type: "peer-heard",
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
