/**
 * Simulates how nodes read the log, exchange messages and put configurations in
 * force. Runs only the decision functions, joined by a message queue.
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

interface QueuedMessage {
  readonly from: NodeId;
  readonly to: NodeId;
  readonly message: Message;
}

/** A process. A restart replaces it by a new process at the same address. */
export interface ConfigNode {
  readonly id: NodeId;
  readonly domain: string;
  readonly membership: MembershipState;
  readonly distribution: DistributionState;
  config: ConfigState;
  serving: ServingConfig | undefined;
  /** Whether the node reads the log itself. */
  isFollower: boolean;
  /** Head of the log at the node's first read. */
  firstHead: Offset | undefined;
  /** Head that the node must reach before it reports a new version floor. */
  awaitedHead: Offset | undefined;
}

/** Fault of every third message. `Reorder` delivers the message first. */
export const QueueFault = {
  None: "none",
  Lose: "lose",
  Duplicate: "double",
  Reorder: "cross",
} as const;
export type QueueFault = typeof QueueFault[keyof typeof QueueFault];

export interface ConfigSimulation {
  readonly nodes: Map<NodeId, ConfigNode>;
  /** Failure domains that are partitioned from the others. */
  readonly partitioned: Set<string>;
  /** Highest version that was in force at each address, across restarts. */
  readonly applied: Map<NodeId, Offset>;
  readonly log: LogRecord[];
  isLogOut: boolean;
  queueFault: QueueFault;
  queue: QueuedMessage[];
  sentCount: number;
  now: number;
}

/** Maximum number of records in a page of the log. */
const PAGE_RECORDS = 5;

const TICK_MS = 1_000;

/** Creates a simulation without nodes and with an empty log. */
export function createConfigSimulation(): ConfigSimulation {
  return {
    nodes: new Map(),
    partitioned: new Set(),
    applied: new Map(),
    log: [],
    isLogOut: false,
    queueFault: QueueFault.None,
    queue: [],
    sentCount: 0,
    now: 0,
  };
}

/** Options of `startConfigNode`. */
export interface StartConfigNodeOptions {
  readonly id: NodeId;
  readonly domain: string;
  readonly seeds: readonly NodeId[];
  /** Wall clock of the VM at the start, which may step back. */
  readonly startedAt: number;
  readonly boot: string;
}

/** Starts a process without any state. */
export function startConfigNode(
  sim: ConfigSimulation,
  opts: StartConfigNodeOptions,
) {
  const { id, domain, seeds, startedAt, boot } = opts;
  const self = { id, domain, region: "nl-west", boot };
  const { now } = sim;
  sim.nodes.set(id, {
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

/** Advances every node by one second, then delivers all queued messages. */
export function tickConfigSimulation(sim: ConfigSimulation) {
  sim.now += TICK_MS;
  const { now } = sim;
  for (const [index, node] of [...sim.nodes.values()].entries()) {
    const random = (index * 0.619 + now * 0.000_317) % 1;
    const presence: readonly NodeId[] = [];
    runMembership(sim, node, { type: "ticked", now, random, presence });
    const view = viewOf(node);
    runDistribution(sim, node, { type: "ticked", now, view, random });
    if (node.isFollower) readLog(sim, node);
  }
  deliver(sim);
}

function enqueue(
  sim: ConfigSimulation,
  node: ConfigNode,
  to: NodeId,
  message: Message,
) {
  const sent = { from: node.id, to, message };
  sim.sentCount++;
  const fault = sim.sentCount % 3 === 0 ? sim.queueFault : QueueFault.None;
  switch (fault) {
    case "none":
      sim.queue.push(sent);
      break;
    case "lose":
      break;
    case "double":
      sim.queue.push(sent, sent);
      break;
    case "cross":
      sim.queue.unshift(sent);
      break;
    default:
      exhausted(fault);
  }
}

function deliver(sim: ConfigSimulation) {
  for (let one = sim.queue.shift(); one; one = sim.queue.shift()) {
    const [from, node] = [sim.nodes.get(one.from), sim.nodes.get(one.to)];
    if (node === undefined || isPartitioned(sim, from, node)) continue;
    receive(sim, node, one);
  }
}

function isPartitioned(
  sim: ConfigSimulation,
  a: ConfigNode | undefined,
  b: ConfigNode,
) {
  if (a === undefined || a.domain === b.domain) return false;
  return sim.partitioned.has(a.domain) || sim.partitioned.has(b.domain);
}

function receive(sim: ConfigSimulation, node: ConfigNode, sent: QueuedMessage) {
  const { from, message } = sent;
  const { now } = sim;
  if (isDistribution(message)) {
    const view = viewOf(node);
    const type = "received";
    runDistribution(sim, node, { type, from, message, now, view });
  } else {
    runMembership(sim, node, { type: "received", from, message, now });
  }
}

function isDistribution(message: Message): message is DistributionMessage {
  return message.type.startsWith("distribution/");
}

function readLog(sim: ConfigSimulation, node: ConfigNode) {
  if (sim.isLogOut) return;
  const { now, log } = sim;
  const { next } = node.config;
  node.firstHead ??= log.length + 1;
  const records = log.slice(next - 1, next - 1 + PAGE_RECORDS);
  const view = viewOf(node);
  runDistribution(sim, node, { type: "read", records, now, view });
  const isCaughtUp = node.config.next >= node.firstHead;
  if (node.membership.floor === undefined && isCaughtUp) {
    runMembership(sim, node, { type: "caught-up", now });
  }
}

function viewOf(node: ConfigNode) {
  const gateways = remoteGateways(node.membership);
  return { ...overlayOf(node.membership), gateways };
}

function runMembership(
  sim: ConfigSimulation,
  node: ConfigNode,
  event: MembershipEvent,
) {
  for (const effect of decideMembership(node.membership, event)) {
    switch (effect.type) {
      case "send":
        enqueue(sim, node, effect.to, effect.message);
        break;
      case "floor-known":
      case "upstreams-changed":
        swapConfig(sim, node);
        break;
      case "read-head":
        if (!sim.isLogOut) node.awaitedHead = sim.log.length + 1;
        else runMembership(sim, node, { type: "head-unknown" });
        checkAwaitedHead(sim, node);
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
  sim: ConfigSimulation,
  node: ConfigNode,
  event: DistributionEvent,
) {
  for (const effect of decideDistribution(node.distribution, event)) {
    performEffect(sim, node, effect);
  }
}

function performEffect(
  sim: ConfigSimulation,
  node: ConfigNode,
  effect: DistributionEffect,
) {
  switch (effect.type) {
    case "send":
      enqueue(sim, node, effect.to, effect.message);
      break;
    case "follow":
      node.isFollower = effect.isReader;
      break;
    case "fold":
      for (const record of effect.records) {
        foldRecord({ state: node.config, record });
      }
      handleFolded(sim, node, effect.records);
      break;
    case "load-snapshot": {
      if (effect.snapshot.through < node.config.next) break;
      node.config = decodeSnapshot(effect.snapshot)._unsafeUnwrap();
      handleFolded(sim, node, []);
      break;
    }
    case "send-snapshot": {
      const snapshot = encodeSnapshot(node.config);
      const message = { type: "distribution/snapshot", snapshot } as const;
      enqueue(sim, node, effect.to, message);
      break;
    }
    case "diverged":
      assert.fail(`${node.id} and ${effect.peer} diverged`);
      break;
    default:
      exhausted(effect);
  }
}

function handleFolded(
  sim: ConfigSimulation,
  node: ConfigNode,
  records: readonly LogRecord[],
) {
  const { next, digest } = node.config;
  runDistribution(sim, node, { type: "folded", next, digest, records });
  swapConfig(sim, node);
  checkAwaitedHead(sim, node);
}

function checkAwaitedHead(sim: ConfigSimulation, node: ConfigNode) {
  const { next, version } = node.config;
  if (node.awaitedHead === undefined || next < node.awaitedHead) return;
  node.awaitedHead = undefined;
  runMembership(sim, node, { type: "head-reached", version });
}

/**
 * Puts the compiled configuration in force, and checks that the version at an
 * address never decreases.
 */
function swapConfig(sim: ConfigSimulation, node: ConfigNode) {
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
  const before = sim.applied.get(node.id) ?? 0;
  assert.ok(version >= before, `${node.id}: ${version} after ${before}`);
  sim.applied.set(node.id, version);
  if (version === serving?.version) return;
  runMembership(sim, node, { type: "applied", version, now: sim.now });
}
