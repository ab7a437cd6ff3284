/**
 * Compares two ways to broadcast one record in a failure domain: along the
 * ring that the nodes use, and by random gossip.
 * @module
 */
import { Packr } from "msgpackr";
import type { LogRecord } from "../../src/config_log/messages.ts";
import type { NodeId } from "../../src/core/types.ts";
import { buildRing } from "../../src/overlay/build_ring.ts";
import { delegateBroadcast } from "../../src/overlay/delegate_broadcast.ts";
import { decideGossip, type GossipState } from "./decide_gossip.ts";
import { type Figure, figure } from "./figure.ts";

/** Options of `compareSpreading`. */
export interface CompareSpreadingOptions {
  readonly ids: readonly NodeId[];
  readonly record: LogRecord;
  readonly random: () => number;
  /** Share of the members that have died without being detected yet. */
  readonly deadShare: number;
}

interface Spread {
  messages: number;
  bytes: number;
  /** Most hops on the way to any member. */
  depth: number;
  /** Most messages that one member sent. */
  mostSent: number;
  readonly reached: Set<NodeId>;
}

interface Hop {
  readonly to: NodeId;
  readonly depth: number;
  /** The receiver covers the ring up to this node; unused by gossip. */
  readonly until: NodeId;
}

const ROUND_COUNT = 20;
const GOSSIP_FANOUTS = [3, 7];
const packr = new Packr({ useRecords: false });

/** Broadcasts a record 20 times each way, with and without dead members. */
export function compareSpreading(opts: CompareSpreadingOptions): Figure[] {
  const strategies = [
    { name: "ring", run: spreadByRing },
    ...GOSSIP_FANOUTS.map((fanout) => ({
      name: `gossip to ${fanout}`,
      run: (one: CompareSpreadingOptions, dead: ReadonlySet<NodeId>) =>
        spreadByGossip(one, dead, fanout),
    })),
  ];
  return strategies.flatMap(({ name, run }) => {
    const allLive = averageSpread(opts, run, 0);
    const someDead = averageSpread(opts, run, opts.deadShare);
    const share = `${opts.deadShare * 100}% dead`;
    return [
      figure(`${name}: messages for each member`, allLive.messages, ""),
      figure(`${name}: bytes for each member`, allLive.bytes, "B"),
      figure(`${name}: most messages of one member`, allLive.mostSent, ""),
      figure(`${name}: depth`, allLive.depth, "hops"),
      figure(`${name}: members missed, none dead`, allLive.missed * 100, "%"),
      figure(
        `${name}: live members missed, ${share}`,
        someDead.missed * 100,
        "%",
      ),
    ];
  });
}

type RunSpread = (
  opts: CompareSpreadingOptions,
  dead: ReadonlySet<NodeId>,
) => Spread;

function averageSpread(
  opts: CompareSpreadingOptions,
  run: RunSpread,
  deadShare: number,
) {
  const mean = { messages: 0, bytes: 0, depth: 0, mostSent: 0, missed: 0 };
  const { ids, random } = opts;
  for (let round = 0; round < ROUND_COUNT; round++) {
    const dead = new Set(ids.slice(1).filter(() => random() < deadShare));
    const spread = run(opts, dead);
    const live = ids.length - dead.size;
    mean.messages += spread.messages / ids.length / ROUND_COUNT;
    mean.bytes += spread.bytes / ids.length / ROUND_COUNT;
    mean.depth = Math.max(mean.depth, spread.depth);
    mean.mostSent = Math.max(mean.mostSent, spread.mostSent);
    mean.missed += (live - spread.reached.size) / live / ROUND_COUNT;
  }
  return mean;
}

function spreadByRing(
  opts: CompareSpreadingOptions,
  dead: ReadonlySet<NodeId>,
): Spread {
  const ring = buildRing(opts.ids);
  const origin = opts.ids[0] ?? "";
  return simulateSpread(
    origin,
    dead,
    (hop) =>
      delegateBroadcast(ring, hop.to, hop.until).map((one) => ({
        ...one,
        bytes: encodedSize(opts.record, one.until),
      })),
  );
}

function spreadByGossip(
  opts: CompareSpreadingOptions,
  dead: ReadonlySet<NodeId>,
  fanout: number,
): Spread {
  const states = new Map<NodeId, GossipState>(
    opts.ids.map((id) => [id, { self: id, seen: new Set() }]),
  );
  const bytes = encodedSize(opts.record, "");
  return simulateSpread(opts.ids[0] ?? "", dead, (hop) => {
    const state = states.get(hop.to);
    if (state === undefined) return [];
    const targets = decideGossip(state, {
      members: opts.ids,
      offset: opts.record.offset,
      random: Array.from({ length: fanout }, opts.random),
    });
    return targets.map((to) => ({ to, until: "", bytes }));
  });
}

function simulateSpread(
  origin: NodeId,
  dead: ReadonlySet<NodeId>,
  next: (hop: Hop) => { to: NodeId; until: NodeId; bytes: number }[],
): Spread {
  const reached = new Set([origin]);
  const spread = { messages: 0, bytes: 0, depth: 0, mostSent: 0, reached };
  const queue: Hop[] = [{ to: origin, until: origin, depth: 0 }];
  for (let hop = queue.shift(); hop !== undefined; hop = queue.shift()) {
    if (dead.has(hop.to)) continue;
    if (!reached.has(hop.to)) spread.depth = Math.max(spread.depth, hop.depth);
    reached.add(hop.to);
    const targets = next(hop);
    spread.mostSent = Math.max(spread.mostSent, targets.length);
    spread.messages += targets.length;
    for (const { to, until, bytes } of targets) {
      spread.bytes += bytes;
      queue.push({ to, until, depth: hop.depth + 1 });
    }
  }
  return spread;
}

function encodedSize(record: LogRecord, until: NodeId): number {
  const type = "distribution/records";
  return packr.pack({ type, records: [record], until }).length;
}
