/**
 * Control traffic and convergence in a simulated mesh, at the size of the
 * design target: 310 members in a failure domain, 6,200 in total.
 * @module
 */
import type { LogRecord } from "../../src/config_log/messages.ts";
import type { NodeId } from "../../src/core/types.ts";
import {
  BACKUP_DELAY_MS,
  FETCH_TIMEOUT_MS,
} from "../../src/distribution/decide_distribution.ts";
import {
  SUSPECT_AFTER_PINGS,
  SUSPICION_MS,
} from "../../src/membership/ping_members.ts";
import { overlayOf } from "../../src/membership/overlay_of.ts";
import { type Figure, figure } from "./figure.ts";
import {
  announce,
  createMesh,
  deliver,
  type Mesh,
  readLog,
  resetSentBytes,
  runMembership,
  startNode,
  tickMesh,
} from "./simulated_mesh.ts";

const CHANGES_PER_DAY = 3_200;
const SECONDS_PER_DAY = 86_400;
const TICK_MS = 1_000;
const SERVICE_COUNT = 830;
/** Upper limit for one hop between two nodes, in milliseconds. */
const MAX_HOP_MS = 50;

/** Returns a node's address, as long as the addresses of a real fleet. */
export function addressOf(domain: number, index: number): NodeId {
  return `10.${domain}.${100 + (index >> 8)}.${100 + (index & 127)}` +
    `:${7000 + (index & 128)}`;
}

/** Starts failure domains in which each node has the full member list. */
export function startMesh(
  random: () => number,
  domains: number,
  members: number,
): Mesh {
  const mesh = createMesh(random);
  for (let domain = 0; domain < domains; domain++) {
    const ids = Array.from(
      { length: members },
      (_, index) => addressOf(domain, index),
    );
    const seeds = [addressOf(domain, 0), addressOf((domain + 1) % domains, 0)];
    const nodes = ids.map((id) => startNode(mesh, id, `zone-${domain}`, seeds));
    for (const [index, node] of nodes.entries()) {
      announce(mesh, node, `service-${(domain * 311 + index) % SERVICE_COUNT}`);
    }
    shareMembership(mesh, nodes);
    for (const node of nodes) {
      runMembership(mesh, node, { type: "caught-up", now: mesh.now });
    }
  }
  return mesh;
}

function shareMembership(mesh: Mesh, nodes: ReturnType<typeof startNode>[]) {
  const rows = nodes.flatMap((node) =>
    [...node.membership.members.values()].map((known) => known.row)
  );
  const [first] = nodes;
  if (first === undefined) return;
  const { domain, id: from, membership } = first;
  const welcome = { domain, rows, summaries: [] };
  const message = { type: "membership/welcome", welcome } as const;
  runMembership(mesh, first, { type: "received", from, now: 0, message });
  mesh.queue = [];
  // The other nodes hold the same view. It is copied, which has the same
  // result as applying all rows in each of them.
  for (const { membership: other } of nodes.slice(1)) {
    other.members = new Map(membership.members);
    other.sums = [...membership.sums];
    other.homes = new Map(membership.homes);
    other.homeByEndpoint = new Map(membership.homeByEndpoint);
    other.overlay = membership.overlay;
    other.hasJoined = true;
  }
}

/**
 * Advances by one second. Upstreams are announced again to their home nodes
 * (the nodes on their VMs), which drop them otherwise.
 */
function tickWithUpstreams(mesh: Mesh) {
  for (const node of mesh.nodes.values()) {
    for (const own of node.membership.own.values()) {
      announce(mesh, node, own.announcement.service);
    }
  }
  tickMesh(mesh);
}

const createRecord = (offset: number): LogRecord => ({
  offset,
  body: "x".repeat(600),
});

/** Measures the control traffic of an idle fleet and of a change. */
export function measureFleet(
  mesh: Mesh,
  name: string,
  seconds: { readonly settle: number; readonly idle: number },
): Figure[] {
  const { settle, idle } = seconds;
  for (let tick = 0; tick < settle; tick++) {
    tickWithUpstreams(mesh);
  }
  resetSentBytes(mesh);
  for (let tick = 0; tick < idle; tick++) tickWithUpstreams(mesh);
  const idleRates = resetSentBytes(mesh).map((bytes) => bytes / idle);
  const followers =
    [...mesh.nodes.values()].filter((node) => node.isFollower).length;
  const perChange = measureChange(mesh, idle);
  const perDay = (perChange - mean(idleRates) * idle) * CHANGES_PER_DAY /
    SECONDS_PER_DAY;
  return [
    figure(`${name}: at rest, mean node`, mean(idleRates), "B/s", "< 1000"),
    figure(`${name}: at rest, busiest node`, max(idleRates), "B/s", "< 1000"),
    figure(`${name}: 3,200 changes a day`, perDay, "B/s a node", "< 100"),
    figure(`${name}: nodes that read the log`, followers, ""),
  ];
}

function measureChange(mesh: Mesh, ticks: number): number {
  const next = [...mesh.nodes.values()][0]?.distribution.next ?? 1;
  const log = Array.from(
    { length: next },
    (_, index) => createRecord(index + 1),
  );
  readLog(mesh, log);
  deliver(mesh);
  for (let tick = 0; tick < ticks; tick++) tickWithUpstreams(mesh);
  return mean(resetSentBytes(mesh));
}

/**
 * Measures control traffic while half of a failure domain dies and restarts,
 * and the time until all nodes have noticed.
 */
export function measureMassFailure(
  random: () => number,
  members: number,
): Figure[] {
  const mesh = startMesh(random, 1, members);
  for (let tick = 0; tick < 8; tick++) tickWithUpstreams(mesh);
  resetSentBytes(mesh);
  const killed = [...mesh.nodes.values()].filter((_, index) => index % 2 === 1);
  for (const node of killed) mesh.nodes.delete(node.id);
  const failure = runUntilSize(mesh, members - killed.length);
  const seeds = [addressOf(0, 0), addressOf(0, 2), addressOf(0, 4)];
  for (const { id } of killed) startNode(mesh, id, "zone-0", seeds);
  const recovery = runUntilSize(mesh, members);
  const name = `half of ${members}`;
  return [
    figure(`${name} die: known to all after`, failure.ticks, "s"),
    figure(`${name} die: mean node`, failure.mean, "B/s", "< 9000"),
    figure(`${name} return: known to all after`, recovery.ticks, "s"),
    figure(`${name} return: mean node`, recovery.mean, "B/s", "< 9000"),
    figure(`${name} return: busiest node`, recovery.max, "B/s"),
  ];
}

function runUntilSize(mesh: Mesh, size: number) {
  const limit = 60;
  let ticks = 0;
  let most = 0;
  let total = 0;
  const isDone = () =>
    [...mesh.nodes.values()].every((node) =>
      node.membership.members.size === size
    );
  while (ticks < limit && !isDone()) {
    tickWithUpstreams(mesh);
    ticks++;
    const sent = resetSentBytes(mesh);
    most = Math.max(most, max(sent));
    total += mean(sent);
  }
  return { ticks, mean: total / Math.max(1, ticks), max: most };
}

/**
 * Measures how long a record takes to reach all nodes when the first reader
 * and 5% of the members died just before, and derives the worst case.
 */
export function measureRepair(
  random: () => number,
  members: number,
): Figure[] {
  let worst = 0;
  const rounds = 5;
  for (let round = 0; round < rounds; round++) {
    const mesh = startMesh(random, 1, members);
    tickMesh(mesh);
    tickMesh(mesh);
    const [first] = [...mesh.nodes.values()];
    const readers = first === undefined
      ? []
      : overlayOf(first.membership).readers;
    for (const id of [...mesh.nodes.keys()]) {
      const isSecond = id === readers[1];
      if (id === readers[0] || (!isSecond && random() < 0.05)) {
        mesh.nodes.delete(id);
      }
    }
    readLog(mesh, [createRecord(1)]);
    deliver(mesh);
    let ticks = 0;
    while ([...mesh.nodes.values()].some((one) => one.distribution.next < 2)) {
      tickMesh(mesh);
      ticks++;
    }
    worst = Math.max(worst, ticks);
  }
  const depth = Math.ceil(Math.log2(members)) * MAX_HOP_MS;
  const oneDead = worst * TICK_MS + BACKUP_DELAY_MS + FETCH_TIMEOUT_MS + depth;
  const detection = (SUSPECT_AFTER_PINGS + 1) * TICK_MS + SUSPICION_MS +
    TICK_MS;
  const name = "derived worst case";
  return [
    figure("first reader and 5% die unseen: all have it after", worst, "s"),
    figure(`${name}, a reader's death`, oneDead / 1_000, "s", "< 14"),
    figure(
      `${name}, both readers' death`,
      (detection + oneDead) / 1_000,
      "s",
      "< 14",
    ),
  ];
}

/** Counts the nodes that read the log, by the size of a failure domain. */
export function measureReaders(random: () => number): Figure[] {
  const counts = [10, 100, 310].map((members) => {
    const mesh = startMesh(random, 1, members);
    for (let tick = 0; tick < 3; tick++) tickMesh(mesh);
    const readers = [...mesh.nodes.values()].filter((one) => one.isFollower);
    return { members, readers: readers.length };
  });
  const [small, , large] = counts;
  const slope = ((large?.readers ?? 0) - (small?.readers ?? 0)) / 300;
  return [
    ...counts.map(({ members, readers }) =>
      figure(`log readers of ${members} members`, readers, "")
    ),
    figure("log readers, slope", slope, "a node", "= 0"),
  ];
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / Math.max(1, values.length);
}

function max(values: readonly number[]): number {
  return values.reduce((most, one) => Math.max(most, one), 0);
}
