/**
 * Announces to the whole fleet whether this node reads the operators' topic, and
 * tells the reader election of the statuses of other nodes.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { type FleetState, liveRows, ownRow } from "../fleet/state.ts";
import {
  applyBeat,
  createBeatState,
  dropOldBeats,
  healthyReaders,
  type ReaderBeat,
  silenceOf,
  statusOfNode,
} from "../reader_election/apply_beat.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import type { Outbox } from "./create_outbox.ts";
import type { OperatorFeed } from "./feed_operator.ts";

/**
 * Time after which a reader numbers a new beat, in milliseconds. Neighbors pass
 * it on with their digests.
 */
const BEAT_INTERVAL_MS = 5_000;

/**
 * Time after the start in which this node announces nothing, in milliseconds. A
 * node reads once at its start, and most nodes stop then.
 */
const QUIET_START_MS = 2_400;

/** Time between counts of the nodes of this domain, in milliseconds. */
const COUNT_INTERVAL_MS = 500;

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
  /** Counts the readers. Called a few times a second. */
  tick(): void;
  /** Announces this node's status, which has changed. */
  send(): void;
  /** Announces that a node does not answer, if it is a reader. */
  announceSilence(node: NodeId): void;
  /** The beats of all readers, for a neighbor. */
  all(): readonly ReaderBeat[];
  healthyNodes(): readonly NodeId[];
  statusOf(node: NodeId): ReaderStatus;
}

export function createBeatService(opts: CreateBeatServiceOptions): BeatService {
  const { self, domain, fleet, operator, now } = opts;
  const state = createBeatState();
  let seq = 0;
  let numberedAt = -Infinity;
  let announced: ReaderStatus = ReaderStatus.Idle;
  const createdAt = now();
  let countedAt = -Infinity;

  function ownBeat(): ReaderBeat {
    const { startedAt } = ownRow(fleet);
    const readerStatus = operator.readerStatus();
    const end = operator.end();
    return { node: self, domain, startedAt, seq, readerStatus, end };
  }

  function send() {
    if (now() - createdAt < QUIET_START_MS) return;
    seq++;
    numberedAt = now();
    announced = operator.readerStatus();
    opts.outbox.addBeat(ownBeat(), undefined);
  }

  function handleBeat(beat: ReaderBeat, from: NodeId | undefined) {
    if (beat.node === self) return refute(beat);
    const before = statusOfNode(state, beat.node, now());
    if (!applyBeat(state, beat, now())) return;
    if (beat.readerStatus !== before) opts.outbox.addBeat(beat, from);
    reportStatus(beat);
  }

  /** A neighbor announced that this node is silent, or an earlier process. */
  function refute(beat: ReaderBeat) {
    const isOutdated = beat.startedAt === ownRow(fleet).startedAt &&
      beat.seq > seq && operator.readerStatus() !== ReaderStatus.Idle;
    if (isOutdated) send();
  }

  function reportStatus({ node, domain, readerStatus, end }: ReaderBeat) {
    // Only a linked node can be asked for newer records.
    const knownEnd = opts.canSend(node) ? end : undefined;
    operator.handlePeerStatus({ node, domain, readerStatus, end: knownEnd });
  }

  /**
   * Reports the readers, and the nodes of this domain that have no link to this
   * node, so that the reader election counts them. Their statuses are valid
   * until they change.
   */
  function countNodes() {
    for (const { row: { node, domain } } of liveRows(fleet)) {
      if (node === self) continue;
      const readerStatus = statusOfNode(state, node, now());
      const isKnownByPings = domain !== opts.domain || opts.canSend(node);
      if (readerStatus === ReaderStatus.Idle && isKnownByPings) continue;
      operator.handlePeerStatus({ node, domain, readerStatus, end: undefined });
    }
  }

  return {
    handle(beats, from) {
      for (const beat of beats) handleBeat(beat, from);
    },
    tick() {
      const isReader = operator.readerStatus() !== ReaderStatus.Idle;
      if (isReader && now() - numberedAt >= BEAT_INTERVAL_MS) {
        seq++;
        numberedAt = now();
      }
      if (operator.readerStatus() !== announced) send();
      if (now() - countedAt < COUNT_INTERVAL_MS) return;
      countedAt = now();
      dropOldBeats(state, now());
      countNodes();
    },
    announceSilence(node) {
      const beat = silenceOf(state, node);
      if (beat !== undefined) handleBeat(beat, undefined);
    },
    all() {
      const known = [...state.beats.values()].map(({ beat }) => beat);
      return announced === ReaderStatus.Idle ? known : [...known, ownBeat()];
    },
    send,
    healthyNodes: () => healthyReaders(state, now()),
    statusOf: (node) =>
      node === self
        ? operator.readerStatus()
        : statusOfNode(state, node, now()),
  };
}
