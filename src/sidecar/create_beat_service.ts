/**
 * Announces to the whole fleet whether this node reads the operators' topic, and
 * tells the reader election of the statuses of other nodes.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { type FleetState, liveRows, ownRow } from "../fleet/state.ts";
import {
  applyBeat,
  BEATS_PER_REMOTE_BEAT,
  createBeatState,
  healthyReaders,
  type ReaderBeat,
  statusOfNode,
} from "../reader_election/apply_beat.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import type { Outbox } from "./create_outbox.ts";
import type { OperatorFeed } from "./feed_operator.ts";

/** Time between the beats of a reader, in milliseconds. */
const BEAT_INTERVAL_MS = 500;

/** Time between counts of the nodes that do not read, in milliseconds. */
const COUNT_INTERVAL_MS = 1_000;

/** Offset of a node whose offset is not known. */
const UNKNOWN_END = -1;

/** Options of `createBeatService`. */
export interface CreateBeatServiceOptions {
  readonly self: NodeId;
  readonly domain: string;
  readonly fleet: FleetState;
  readonly operator: OperatorFeed;
  readonly outbox: Outbox;
  /** Whether a message can be sent to a node. */
  readonly canSend: (node: NodeId) => boolean;
  readonly now: () => MonotonicMs;
}

export interface BeatService {
  handle(beats: readonly ReaderBeat[], from: NodeId | undefined): void;
  /** Sends a beat if one is due. Called a few times a second. */
  tick(): void;
  /** Sends a beat now, since this node's status has changed. */
  send(): void;
  forget(node: NodeId): void;
  healthyNodes(): readonly NodeId[];
  statusOf(node: NodeId): ReaderStatus;
}

export function createBeatService(opts: CreateBeatServiceOptions): BeatService {
  const { self, domain, fleet, operator, now } = opts;
  const state = createBeatState();
  let seq = 0;
  let sentAt = -Infinity;
  let sentStatus: ReaderStatus = ReaderStatus.Idle;
  let countedAt = -Infinity;

  function send() {
    const readerStatus = operator.readerStatus();
    // All failure domains learn of a changed status.
    seq += readerStatus === sentStatus
      ? 1
      : BEATS_PER_REMOTE_BEAT - seq % BEATS_PER_REMOTE_BEAT;
    sentAt = now();
    sentStatus = readerStatus;
    const { startedAt } = ownRow(fleet);
    const end = operator.end();
    const beat = { node: self, domain, startedAt, seq, readerStatus, end };
    opts.outbox.addBeat(beat, undefined);
  }

  function handleBeat(beat: ReaderBeat, from: NodeId | undefined) {
    if (beat.node === self || !applyBeat(state, beat, now())) return;
    opts.outbox.addBeat(beat, from);
    const { node, readerStatus } = beat;
    // Only a linked node can be asked for newer records.
    const end = opts.canSend(node) ? beat.end : UNKNOWN_END;
    operator.handlePeerStatus({ node, domain: beat.domain, readerStatus, end });
  }

  /**
   * Counts the nodes of this domain that neither read nor have a link to this
   * node. They may have to read before this node does.
   */
  function countIdleNodes() {
    for (const { row: { node, domain } } of liveRows(fleet)) {
      if (domain !== opts.domain || node === self || opts.canSend(node)) {
        continue;
      }
      const readerStatus = statusOfNode(state, node, now());
      if (readerStatus !== ReaderStatus.Idle) continue;
      operator.handlePeerStatus({
        node,
        domain,
        readerStatus,
        end: UNKNOWN_END,
      });
    }
  }

  return {
    handle(beats, from) {
      for (const beat of beats) handleBeat(beat, from);
    },
    tick() {
      const isAnnounced = operator.readerStatus() !== ReaderStatus.Idle ||
        sentStatus !== ReaderStatus.Idle;
      if (isAnnounced && now() - sentAt >= BEAT_INTERVAL_MS) send();
      if (now() - countedAt < COUNT_INTERVAL_MS) return;
      countedAt = now();
      countIdleNodes();
    },
    send,
    forget: (node) => state.beats.delete(node),
    healthyNodes: () => healthyReaders(state, now()),
    statusOf: (node) =>
      node === self
        ? operator.readerStatus()
        : statusOfNode(state, node, now()),
  };
}
