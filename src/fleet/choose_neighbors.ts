/**
 * Chooses the nodes that this node exchanges the state of the fleet with.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import type { Member } from "./state.ts";

/** Number of other failure domains that a node of a large domain dials. */
const MIN_OTHER_DOMAINS = 2;

/**
 * Number of links that the nodes of a domain open together to each other
 * domain, if the domain is small.
 */
const LINKS_PER_DOMAIN_PAIR = 2;

/** Options of `chooseNeighbors`. */
export interface ChooseNeighborsOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** All nodes, or all but this one. */
  readonly members: readonly Member[];
}

/**
 * Returns the neighbors that this node dials: in its failure domain, the nodes
 * at the distances 1, 2, 4 and so on in the order of addresses, and one node in
 * each of a few other domains.
 *
 * Links carry messages in both directions, so a message that each node forwards
 * once reaches a domain of n nodes in log2(n) hops at most, and the loss of a
 * third of the nodes leaves the others connected. A node dials, and is dialled
 * by, log2(n) nodes.
 */
export function chooseNeighbors(opts: ChooseNeighborsOptions): Set<NodeId> {
  const { self, domain } = opts;
  const byDomain = new Map<string, NodeId[]>([[domain, [self]]]);
  for (const member of opts.members) {
    if (member.node === self) continue;
    const same = byDomain.get(member.domain);
    if (same === undefined) byDomain.set(member.domain, [member.node]);
    else same.push(member.node);
  }
  for (const nodes of byDomain.values()) nodes.sort();
  const own = byDomain.get(domain) ?? [];
  const place = own.indexOf(self);
  const neighbors = new Set<NodeId>();
  for (let step = 1; step < own.length; step *= 2) {
    addAt(neighbors, own, place + step);
  }
  // Each domain begins with the next one in order, so that the nodes at one
  // place of all domains don't dial the same node.
  const domains = [...byDomain.keys()].sort();
  const others = domains.length - 1;
  const share = Math.ceil(LINKS_PER_DOMAIN_PAIR * others / own.length);
  const count = Math.min(others, Math.max(MIN_OTHER_DOMAINS, share));
  for (let step = 0; step < count; step++) {
    const distance = 1 + (place + step) % others;
    const at = (domains.indexOf(domain) + distance) % domains.length;
    addAt(neighbors, byDomain.get(domains[at] ?? "") ?? [], place);
  }
  return neighbors;
}

function addAt(chosen: Set<NodeId>, nodes: readonly NodeId[], index: number) {
  const node = nodes[index % nodes.length];
  if (node !== undefined) chosen.add(node);
}
