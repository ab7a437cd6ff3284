/**
 * Plans which nodes this node keeps links to.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { hashText } from "../core/hash_text.ts";
import {
  chooseHomes,
  type HomeOption,
  HOMES_PER_VERSION,
} from "./choose_homes.ts";
import { chooseNeighbors } from "./choose_neighbors.ts";
import { extraHomesOf } from "./record_demand.ts";
import {
  type FleetEffect,
  type FleetState,
  isLive,
  liveRows,
  type Member,
} from "./state.ts";

/**
 * Number of failed attempts to open a link after which the node is replaced by
 * another.
 */
export const MAX_DIAL_FAILURES = 3;

/** Time after which a link that is no longer needed is closed. */
const CLOSE_UNUSED_AFTER_MS = 10_000;

/** How often, and for how long, this node tries to reach one lost node. */
const LOST_RETRY = { intervalMs: 30_000, durationMs: 3_000 };

/** Limit on the links to home nodes, in case of very many services. */
const MAX_HOME_LINKS = 120;

/** Options of `planLinks`. */
export interface PlanLinksOptions {
  readonly leaders: ReadonlySet<NodeId>;
  readonly now: MonotonicMs;
}

/** Returns the effects that bring the links in line with the plan. */
export function planLinks(
  state: FleetState,
  opts: PlanLinksOptions,
): readonly FleetEffect[] {
  const { now } = opts;
  const wanted = wantedLinks(state, opts);
  const effects: FleetEffect[] = [];
  for (const [node, isNeighbor] of wanted) {
    const link = state.links.get(node);
    state.links.set(node, { isNeighbor, unusedSince: undefined });
    if (link === undefined) effects.push({ type: "dial", node, isNeighbor });
    else if (link.isNeighbor !== isNeighbor) {
      effects.push({ type: "set-neighbor", node, isNeighbor });
    }
  }
  for (const [node, link] of state.links) {
    if (wanted.has(node)) continue;
    const unusedSince = link.unusedSince ?? now;
    if (state.linked.has(node) && now - unusedSince < CLOSE_UNUSED_AFTER_MS) {
      state.links.set(node, { isNeighbor: false, unusedSince });
      if (!link.isNeighbor) continue;
      effects.push({ type: "set-neighbor", node, isNeighbor: false });
      continue;
    }
    state.links.delete(node);
    state.linked.delete(node);
    state.isIndexStale = true;
    effects.push({ type: "remove-link", node });
  }
  return effects;
}

/** Returns the nodes to keep links to, and which of them are neighbors. */
function wantedLinks(
  state: FleetState,
  { leaders, now }: PlanLinksOptions,
): ReadonlyMap<NodeId, boolean> {
  const wanted = new Map<NodeId, boolean>();
  for (const node of wantedHomes(state, now)) wanted.set(node, false);
  for (const node of leaders) {
    if (node !== state.self) wanted.set(node, false);
  }
  const lost = pickLost(state, now);
  if (lost !== undefined) wanted.set(lost, false);
  const neighbors = chooseNeighbors({
    self: state.self,
    domain: state.domain,
    members: listMembers(state, now),
  });
  for (const node of neighbors) wanted.set(node, true);
  return wanted;
}

/**
 * Picks a lost node to try again. Without this, two parts of the fleet that
 * were cut off from each other would never meet again. The nodes pick different
 * ones, and another one each time.
 */
function pickLost(state: FleetState, now: MonotonicMs): NodeId | undefined {
  const lost = [...state.lost.values()].filter(({ isApplied }) => isApplied);
  const { intervalMs, durationMs } = LOST_RETRY;
  if (lost.length === 0 || now % intervalMs >= durationMs) return undefined;
  const turn = Math.floor(now / intervalMs);
  return lost[hashText(`${state.self} ${turn}`) % lost.length]?.node;
}

/**
 * Lists the nodes that may become neighbors. Where all nodes of a failure domain
 * are lost, they are tried again: the domain, or this one, may be cut off.
 */
function listMembers(state: FleetState, now: MonotonicMs): Member[] {
  const live = liveRows(state);
  const domains = new Set(
    live.flatMap(({ row }) => row.node === state.self ? [] : [row.domain]),
  );
  const rows = [...state.rows.values()].filter(({ row }) =>
    isLive(state, row.node) || !domains.has(row.domain)
  );
  const seeds = [...state.seeds]
    .filter(([node]) => !state.rows.has(node))
    .map(([node, domain]) => ({ node, domain }));
  const members = [...rows.map(({ row }) => row), ...seeds]
    .filter(({ node }) => node !== state.self);
  const reachable = members.filter(({ node }) => isReachable(state, node, now));
  return reachable.length === 0 ? members : reachable;
}

function isReachable(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): boolean {
  const failures = state.failures.get(node);
  if (failures === undefined || now >= failures.retryAt) return true;
  // The store also lists nodes that ended long ago. One attempt suffices.
  return state.rows.has(node) && failures.count < MAX_DIAL_FAILURES;
}

function wantedHomes(state: FleetState, now: MonotonicMs): NodeId[] {
  const options = new Map<string, HomeOption[]>();
  const demands = [...state.demands]
    .sort(([, a], [, b]) => b.calledAt - a.calledAt);
  for (const [service] of demands) options.set(service, []);
  for (const { row } of liveRows(state)) {
    const { node, domain, endpoint } = row;
    if (endpoint === undefined || node === state.self) continue;
    if (!isReachable(state, node, now)) continue;
    if (state.evacuated.has(domain)) continue;
    const { version } = endpoint;
    options.get(endpoint.service)?.push({ node, domain, version });
  }
  const homes = demands.flatMap(([service, demand]) =>
    chooseHomes({
      self: state.self,
      domain: state.domain,
      options: options.get(service) ?? [],
      // The home nodes of other domains also replace those of an own domain
      // that is evacuated.
      extra: extraHomesOf(demand, now) +
        (state.evacuated.has(state.domain) ? HOMES_PER_VERSION.sameDomain : 0),
    })
  );
  return homes.slice(0, MAX_HOME_LINKS);
}
