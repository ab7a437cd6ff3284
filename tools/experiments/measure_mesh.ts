/**
 * Control traffic and convergence of decisions alone, at the size to design
 * for: 310 members in a domain and 6,200 in all.
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
  runMembership,
  startNode,
  takeSentBytes,
  tickMesh,
} from "./mesh_of_decisions.ts";

const changesPerDay = 3_200;
const secondsPerDay = 86_400;
const tickMs = 1_000;
const services = 830;
/** Longest time that a hop between two nodes takes, in milliseconds. */
const hopMs = 50;

/** Address of a node, with as many digits as a fleet's addresses have. */
export function addressOf(domain: number, index: number): NodeId {
  return `10.${domain}.${100 + (index >> 8)}.${100 + (index & 127)}` +
    `:${7000 + (index & 128)}`;
}

/** Starts domains whose members know each other, and lets them settle. */
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
      announce(mesh, node, `service-${(domain * 311 + index) % services}`);
    }
    introduce(mesh, nodes);
    for (const node of nodes) {
      runMembership(mesh, node, { type: "caught-up", now: mesh.now });
    }
  }
  return mesh;
}

function introduce(mesh: Mesh, nodes: ReturnType<typeof startNode>[]) {
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
  // The rest hold the same view, which need not be built row by row.
  for (const { membership: other } of nodes.slice(1)) {
    other.members = new Map(membership.members);
    other.sums = [...membership.sums];
    other.homes = new Map(membership.homes);
    other.homeByEndpoint = new Map(membership.homeByEndpoint);
    other.overlay = membership.overlay;
    other.hasJoined = true;
  }
}

/** Keeps upstreams announced, so that their homes go on listing them. */
function tickWithUpstreams(mesh: Mesh) {
  for (const node of mesh.nodes.values()) {
    for (const own of node.membership.own.values()) {
      announce(mesh, node, own.announcement.service);
    }
  }
  tickMesh(mesh);
}

const recordOf = (offset: number): LogRecord => ({
  offset,
  body: "x".repeat(600),
});

/** Bytes at rest, for changes and in a storm, over whole fleets. */
export function measureFleet(
  mesh: Mesh,
  name: string,
  seconds: { readonly settle: number; readonly rest: number },
): Figure[] {
  const { settle, rest } = seconds;
  for (let tick = 0; tick < settle; tick++) {
    tickWithUpstreams(mesh);
  }
  takeSentBytes(mesh);
  for (let tick = 0; tick < rest; tick++) tickWithUpstreams(mesh);
  const atRest = takeSentBytes(mesh).map((bytes) => bytes / rest);
  const followers =
    [...mesh.nodes.values()].filter((node) => node.isFollower).length;
  const perChange = measureChange(mesh, rest);
  const perDay = (perChange - mean(atRest) * rest) * changesPerDay /
    secondsPerDay;
  return [
    figure(`${name}: at rest, mean node`, mean(atRest), "B/s", "< 1000"),
    figure(`${name}: at rest, busiest node`, max(atRest), "B/s", "< 1000"),
    figure(`${name}: 3,200 changes a day`, perDay, "B/s a node", "< 100"),
    figure(`${name}: nodes that read the log`, followers, ""),
  ];
}

function measureChange(mesh: Mesh, ticks: number): number {
  const next = [...mesh.nodes.values()][0]?.distribution.next ?? 1;
  const log = Array.from({ length: next }, (_, index) => recordOf(index + 1));
  readLog(mesh, log);
  deliver(mesh);
  for (let tick = 0; tick < ticks; tick++) tickWithUpstreams(mesh);
  return mean(takeSentBytes(mesh));
}

/** Bytes while half of a domain dies and comes back, and the time it takes. */
export function measureStorm(random: () => number, members: number): Figure[] {
  const mesh = startMesh(random, 1, members);
  for (let tick = 0; tick < 8; tick++) tickWithUpstreams(mesh);
  takeSentBytes(mesh);
  const herd = [...mesh.nodes.values()].filter((_, index) => index % 2 === 1);
  for (const node of herd) mesh.nodes.delete(node.id);
  const dying = runUntil(mesh, members - herd.length);
  const seeds = [addressOf(0, 0), addressOf(0, 2), addressOf(0, 4)];
  for (const { id } of herd) startNode(mesh, id, "zone-0", seeds);
  const returning = runUntil(mesh, members);
  const name = `half of ${members}`;
  return [
    figure(`${name} die: known to all after`, dying.ticks, "s"),
    figure(`${name} die: mean node`, dying.mean, "B/s", "< 9000"),
    figure(`${name} return: known to all after`, returning.ticks, "s"),
    figure(`${name} return: mean node`, returning.mean, "B/s", "< 9000"),
    figure(`${name} return: busiest node`, returning.max, "B/s"),
  ];
}

function runUntil(mesh: Mesh, size: number) {
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
    const sent = takeSentBytes(mesh);
    most = Math.max(most, max(sent));
    total += mean(sent);
  }
  return { ticks, mean: total / Math.max(1, ticks), max: most };
}

/** Seconds of repair after readers and members died unnoticed. */
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
    readLog(mesh, [recordOf(1)]);
    deliver(mesh);
    let ticks = 0;
    while ([...mesh.nodes.values()].some((one) => one.distribution.next < 2)) {
      tickMesh(mesh);
      ticks++;
    }
    worst = Math.max(worst, ticks);
  }
  const depth = Math.ceil(Math.log2(members)) * hopMs;
  const oneDead = worst * tickMs + BACKUP_DELAY_MS + FETCH_TIMEOUT_MS + depth;
  const detection = (SUSPECT_AFTER_PINGS + 1) * tickMs + SUSPICION_MS + tickMs;
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

/** Nodes that read the log, by the size of a domain. */
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
