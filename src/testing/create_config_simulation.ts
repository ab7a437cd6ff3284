/**
 * Nodes as decisions alone, from the log to the configuration in force, joined
 * by a queue in memory.
 * @module
 */
import assert from "node:assert/strict";
import { createConfigState } from "../config_log/create_config_state.ts";
import { decodeSnapshot } from "../config_log/decode_snapshot.ts";
import { encodeSnapshot } from "../config_log/encode_snapshot.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import type { LogRecord } from "../config_log/messages.ts";
import type { ConfigState } from "../config_log/state.ts";
import { exhausted } from "../core/exhausted.ts";
import type { NodeId, Offset } from "../core/types.ts";
import { decideDistribution } from "../distribution/decide_distribution.ts";
import type { DistributionMessage } from "../distribution/messages.ts";
import {
  createDistributionState,
  type DistributionEffect,
  type DistributionEvent,
  type DistributionState,
} from "../distribution/state.ts";
import { createDirectory } from "../membership/create_directory.ts";
import { decideMembership } from "../membership/decide_membership.ts";
import type { MembershipMessage } from "../membership/messages.ts";
import { overlayOf } from "../membership/overlay_of.ts";
import { remoteGateways } from "../membership/publish_summary.ts";
import {
  createMembershipState,
  type MembershipEvent,
  type MembershipState,
} from "../membership/state.ts";
import { compileConfig } from "../serving/compile_config.ts";
import { decideSwap } from "../serving/decide_swap.ts";
import type { ServingConfig } from "../serving/state.ts";

type Message = DistributionMessage | MembershipMessage;

interface Sent {
  readonly from: NodeId;
  readonly to: NodeId;
  readonly message: Message;
}

/** One process. A restart makes a new one at the same address. */
export interface ConfigNode {
  readonly id: NodeId;
  readonly domain: string;
  readonly membership: MembershipState;
  readonly distribution: DistributionState;
  config: ConfigState;
  serving: ServingConfig | undefined;
  isFollower: boolean;
  firstHead: Offset | undefined;
  /** Head that a fresh floor waits for. */
  awaitedHead: Offset | undefined;
}

/** What happens to messages, with every third hit. */
export const QueueFault = {
  None: "none",
  Lose: "lose",
  Double: "double",
  Cross: "cross",
} as const;
export type QueueFault = typeof QueueFault[keyof typeof QueueFault];

export interface ConfigSimulation {
  readonly nodes: Map<NodeId, ConfigNode>;
  /** Domains that are cut off from the others. */
  readonly cut: Set<string>;
  /** Highest version that was in force at each address, over restarts. */
  readonly applied: Map<NodeId, Offset>;
  readonly log: LogRecord[];
  isLogOut: boolean;
  queueFault: QueueFault;
  queue: Sent[];
  posted: number;
  now: number;
}

/** Longest page that the log gives. */
const pageRecords = 5;

const tickMs = 1_000;

/** Creates a world without nodes and with an empty log. */
export function createConfigSimulation(): ConfigSimulation {
  return {
    nodes: new Map(),
    cut: new Set(),
    applied: new Map(),
    log: [],
    isLogOut: false,
    queueFault: QueueFault.None,
    queue: [],
    posted: 0,
    now: 0,
  };
}

/** Options of `startConfigNode`. */
export interface StartConfigNodeOptions {
  readonly id: NodeId;
  readonly domain: string;
  readonly seeds: readonly NodeId[];
  /** Wall clock of the VM, which may step back. */
  readonly startedAt: number;
  readonly boot: string;
}

/** Starts a process with an empty memory. */
export function startConfigNode(
  world: ConfigSimulation,
  opts: StartConfigNodeOptions,
) {
  const { id, domain, seeds, startedAt, boot } = opts;
  const self = { id, domain, region: "nl-west", boot };
  const { now } = world;
  world.nodes.set(id, {
    id,
    domain,
    membership: createMembershipState({ self, seeds, startedAt, now }),
    distribution: createDistributionState(id, 1),
    config: createConfigState(),
    serving: undefined,
    isFollower: false,
    firstHead: undefined,
    awaitedHead: undefined,
  });
}

/** Lets a second pass for every node, then delivers what is on its way. */
export function tickConfigSimulation(world: ConfigSimulation) {
  world.now += tickMs;
  const { now } = world;
  for (const [index, node] of [...world.nodes.values()].entries()) {
    const random = (index * 0.619 + now * 0.000_317) % 1;
    const presence: readonly NodeId[] = [];
    runMembership(world, node, { type: "ticked", now, random, presence });
    const view = viewOf(node);
    runDistribution(world, node, { type: "ticked", now, view, random });
    if (node.isFollower) readLog(world, node);
  }
  deliver(world);
}

function post(
  world: ConfigSimulation,
  node: ConfigNode,
  to: NodeId,
  message: Message,
) {
  const sent = { from: node.id, to, message };
  world.posted++;
  const fault = world.posted % 3 === 0 ? world.queueFault : QueueFault.None;
  switch (fault) {
    case "none":
      world.queue.push(sent);
      break;
    case "lose":
      break;
    case "double":
      world.queue.push(sent, sent);
      break;
    case "cross":
      world.queue.unshift(sent);
      break;
    default:
      exhausted(fault);
  }
}

function deliver(world: ConfigSimulation) {
  for (let one = world.queue.shift(); one; one = world.queue.shift()) {
    const [from, node] = [world.nodes.get(one.from), world.nodes.get(one.to)];
    if (node === undefined || isCut(world, from, node)) continue;
    receive(world, node, one);
  }
}

function isCut(
  world: ConfigSimulation,
  a: ConfigNode | undefined,
  b: ConfigNode,
) {
  if (a === undefined || a.domain === b.domain) return false;
  return world.cut.has(a.domain) || world.cut.has(b.domain);
}

function receive(world: ConfigSimulation, node: ConfigNode, sent: Sent) {
  const { from, message } = sent;
  const { now } = world;
  if (isDistribution(message)) {
    const view = viewOf(node);
    const type = "received";
    runDistribution(world, node, { type, from, message, now, view });
  } else {
    runMembership(world, node, { type: "received", from, message, now });
  }
}

function isDistribution(message: Message): message is DistributionMessage {
  return message.type.startsWith("distribution/");
}

function readLog(world: ConfigSimulation, node: ConfigNode) {
  if (world.isLogOut) return;
  const { now, log } = world;
  const { next } = node.config;
  node.firstHead ??= log.length + 1;
  const records = log.slice(next - 1, next - 1 + pageRecords);
  const view = viewOf(node);
  runDistribution(world, node, { type: "read", records, now, view });
  const isCaughtUp = node.config.next >= node.firstHead;
  if (node.membership.floor === undefined && isCaughtUp) {
    runMembership(world, node, { type: "caught-up", now });
  }
}

function viewOf(node: ConfigNode) {
  const gateways = remoteGateways(node.membership);
  return { ...overlayOf(node.membership), gateways };
}

function runMembership(
  world: ConfigSimulation,
  node: ConfigNode,
  event: MembershipEvent,
) {
  for (const effect of decideMembership(node.membership, event)) {
    switch (effect.type) {
      case "send":
        post(world, node, effect.to, effect.message);
        break;
      case "floor-known":
      case "upstreams-changed":
        compile(world, node);
        break;
      case "read-head":
        if (!world.isLogOut) node.awaitedHead = world.log.length + 1;
        else runMembership(world, node, { type: "head-unknown" });
        noteHead(world, node);
        break;
      case "record-presence":
      case "member-changed":
      case "refuse-peer":
        break;
      default:
        exhausted(effect);
    }
  }
}

function runDistribution(
  world: ConfigSimulation,
  node: ConfigNode,
  event: DistributionEvent,
) {
  for (const effect of decideDistribution(node.distribution, event)) {
    carryOut(world, node, effect);
  }
}

function carryOut(
  world: ConfigSimulation,
  node: ConfigNode,
  effect: DistributionEffect,
) {
  switch (effect.type) {
    case "send":
      post(world, node, effect.to, effect.message);
      break;
    case "follow":
      node.isFollower = effect.isReader;
      break;
    case "fold":
      for (const record of effect.records) {
        foldRecord({ state: node.config, record });
      }
      noteFolded(world, node, effect.records);
      break;
    case "load-snapshot": {
      if (effect.snapshot.through < node.config.next) break;
      node.config = decodeSnapshot(effect.snapshot)._unsafeUnwrap();
      noteFolded(world, node, []);
      break;
    }
    case "send-snapshot": {
      const snapshot = encodeSnapshot(node.config);
      const message = { type: "distribution/snapshot", snapshot } as const;
      post(world, node, effect.to, message);
      break;
    }
    case "diverged":
      assert.fail(`${node.id} and ${effect.peer} diverged`);
      break;
    default:
      exhausted(effect);
  }
}

function noteFolded(
  world: ConfigSimulation,
  node: ConfigNode,
  records: readonly LogRecord[],
) {
  const { next, digest } = node.config;
  runDistribution(world, node, { type: "folded", next, digest, records });
  compile(world, node);
  noteHead(world, node);
}

function noteHead(world: ConfigSimulation, node: ConfigNode) {
  const { next, version } = node.config;
  if (node.awaitedHead === undefined || next < node.awaitedHead) return;
  node.awaitedHead = undefined;
  runMembership(world, node, { type: "head-reached", version });
}

/** Swaps a configuration in, and checks that no address goes back. */
function compile(world: ConfigSimulation, node: ConfigNode) {
  const { config, membership, serving } = node;
  const { floor } = membership;
  if (floor === undefined || config.version === 0) return;
  const directory = createDirectory(membership);
  const candidate = compileConfig({
    state: config,
    directory,
    previous: serving,
  });
  const decision = decideSwap({ current: serving, candidate, floor });
  if (decision.type !== "swap") return;
  node.serving = candidate;
  const { version } = candidate;
  const before = world.applied.get(node.id) ?? 0;
  assert.ok(version >= before, `${node.id}: ${version} after ${before}`);
  world.applied.set(node.id, version);
  if (version === serving?.version) return;
  runMembership(world, node, { type: "applied", version, now: world.now });
}
