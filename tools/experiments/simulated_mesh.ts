/**
 * Simulated mesh: the membership and distribution decisions of many nodes in
 * one process, joined by a message queue. Each message counts with its encoded
 * size.
 * @module
 */
import { Packr } from "msgpackr";
import type { LogRecord } from "../../src/config_log/messages.ts";
import { EndpointState, type NodeId } from "../../src/core/types.ts";
import { exhausted } from "../../src/core/exhausted.ts";
import { decideDistribution } from "../../src/distribution/decide_distribution.ts";
import type { DistributionMessage } from "../../src/distribution/messages.ts";
import {
  createDistributionState,
  type DistributionEvent,
  type DistributionState,
  type OverlayView,
} from "../../src/distribution/state.ts";
import { decideMembership } from "../../src/membership/decide_membership.ts";
import type { MembershipMessage } from "../../src/membership/messages.ts";
import { overlayOf } from "../../src/membership/overlay_of.ts";
import { remoteGateways } from "../../src/membership/publish_summary.ts";
import {
  createMembershipState,
  type MembershipEvent,
  type MembershipState,
} from "../../src/membership/state.ts";

type Message = DistributionMessage | MembershipMessage;

interface Sent {
  readonly from: NodeId;
  readonly to: NodeId;
  readonly message: Message;
}

/** One node of the mesh. */
export interface MeshNode {
  readonly id: NodeId;
  readonly domain: string;
  readonly membership: MembershipState;
  readonly distribution: DistributionState;
  /** Whether the node reads the log. */
  isFollower: boolean;
  sentBytes: number;
  receivedBytes: number;
}

export interface Mesh {
  readonly nodes: Map<NodeId, MeshNode>;
  readonly random: () => number;
  /** Messages and bytes sent, by type of message. */
  readonly totals: Map<string, { messages: number; bytes: number }>;
  queue: Sent[];
  now: number;
  starts: number;
}

const packr = new Packr({ useRecords: false });
const TICK_MS = 1_000;
const FRAME_HEADER_BYTES = 6;

/** Creates a mesh without nodes. */
export function createMesh(random: () => number): Mesh {
  const nodes = new Map<NodeId, MeshNode>();
  const totals = new Map<string, { messages: number; bytes: number }>();
  return { nodes, random, totals, queue: [], now: 0, starts: 0 };
}

/** Starts a node that is configured with its seeds only. */
export function startNode(
  mesh: Mesh,
  id: NodeId,
  domain: string,
  seeds: readonly NodeId[],
): MeshNode {
  const { now } = mesh;
  const startedAt = 1_764_800_000_000 + mesh.starts++;
  const boot = `00000000-0000-4000-8000-${startedAt}`;
  const self = { id, domain, region: "nl-west", boot };
  const node: MeshNode = {
    id,
    domain,
    membership: createMembershipState({ self, seeds, startedAt, now }),
    distribution: createDistributionState(id, 1),
    isFollower: false,
    sentBytes: 0,
    receivedBytes: 0,
  };
  mesh.nodes.set(id, node);
  return node;
}

/** Announces an upstream to its home node, the node on its VM. */
export function announce(mesh: Mesh, node: MeshNode, service: string) {
  runMembership(mesh, node, {
    type: "announced",
    now: mesh.now,
    announcement: {
      endpoint: node.id.replace(":7000", ":8000"),
      service,
      version: "v1",
      slots: 20,
      connections: 130,
      state: EndpointState.Ready,
      load: 0,
      healthy: true,
    },
  });
}

/** Applies one membership event to a node and sends the messages. */
export function runMembership(
  mesh: Mesh,
  node: MeshNode,
  event: MembershipEvent,
) {
  for (const effect of decideMembership(node.membership, event)) {
    if (effect.type === "send") send(mesh, node, effect.to, effect.message);
  }
}

function runDistribution(
  mesh: Mesh,
  node: MeshNode,
  event: DistributionEvent,
) {
  const { distribution } = node;
  for (const effect of decideDistribution(distribution, event)) {
    switch (effect.type) {
      case "send":
        send(mesh, node, effect.to, effect.message);
        break;
      case "fold":
        applyRecords(mesh, node, effect.records);
        break;
      case "follow":
        node.isFollower = effect.isReader;
        break;
      case "load-snapshot":
      case "send-snapshot":
      case "diverged":
        break;
      default:
        exhausted(effect);
    }
  }
}

function applyRecords(
  mesh: Mesh,
  node: MeshNode,
  records: readonly LogRecord[],
) {
  const next = node.distribution.next + records.length;
  const digest = String(next).padStart(64, "0");
  runDistribution(mesh, node, { type: "folded", next, digest, records });
  const version = next - 1;
  runMembership(mesh, node, { type: "applied", version, now: mesh.now });
}

function send(mesh: Mesh, node: MeshNode, to: NodeId, message: Message) {
  const bytes = packr.pack(message).length + FRAME_HEADER_BYTES;
  node.sentBytes += bytes;
  const total = mesh.totals.get(message.type) ?? { messages: 0, bytes: 0 };
  total.messages++;
  total.bytes += bytes;
  mesh.totals.set(message.type, total);
  const receiver = mesh.nodes.get(to);
  if (receiver === undefined) return;
  receiver.receivedBytes += bytes;
  mesh.queue.push({ from: node.id, to, message });
}

function createOverlayView(node: MeshNode): OverlayView {
  const gateways = remoteGateways(node.membership);
  return { ...overlayOf(node.membership), gateways };
}

/** Delivers all queued messages, and those that they cause. */
export function deliver(mesh: Mesh) {
  const { now } = mesh;
  for (let index = 0; index < mesh.queue.length; index++) {
    const sent = mesh.queue[index];
    const node = sent === undefined ? undefined : mesh.nodes.get(sent.to);
    if (sent === undefined || node === undefined) continue;
    const { from, message } = sent;
    if (isDistribution(message)) {
      const view = createOverlayView(node);
      const type = "received";
      runDistribution(mesh, node, { type, now, view, from, message });
    } else {
      runMembership(mesh, node, { type: "received", now, from, message });
    }
  }
  mesh.queue = [];
}

function isDistribution(message: Message): message is DistributionMessage {
  return message.type.startsWith("distribution/");
}

/** Advances the clock by one second and ticks every node. */
export function tickMesh(mesh: Mesh) {
  mesh.now += TICK_MS;
  const { now, random } = mesh;
  for (const node of mesh.nodes.values()) {
    runMembership(mesh, node, {
      type: "ticked",
      now,
      random: random(),
      presence: [],
    });
    const view = createOverlayView(node);
    runDistribution(mesh, node, {
      type: "ticked",
      now,
      view,
      random: random(),
    });
  }
  deliver(mesh);
}

/** Passes the records of the log to every node that reads it. */
export function readLog(mesh: Mesh, log: readonly LogRecord[]) {
  for (const node of mesh.nodes.values()) {
    if (!node.isFollower) continue;
    const records = log.slice(node.distribution.next - 1);
    const view = createOverlayView(node);
    runDistribution(mesh, node, {
      type: "read",
      now: mesh.now,
      view,
      records,
    });
  }
}

/** Returns the bytes that each node sent, and sets the counts to 0. */
export function resetSentBytes(mesh: Mesh): number[] {
  return [...mesh.nodes.values()].map((node) => {
    const bytes = node.sentBytes;
    node.sentBytes = 0;
    node.receivedBytes = 0;
    return bytes;
  });
}
