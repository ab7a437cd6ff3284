/**
 * Chooses the allocators, and counts the nodes that share the allowances.
 * @module
 */
import { hashText } from "../core/hash_text.ts";
import type { NodeId } from "../core/types.ts";

/** A node that this node knows. */
export interface KnownNode {
  readonly node: NodeId;
  readonly domain: string;
  /** Whether the node is not reported as lost. */
  readonly isLive: boolean;
}

/** Options of `chooseAllocators`. */
export interface ChooseAllocatorsOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** Number of failure domains in the settings. */
  readonly domainCount: number;
  readonly known: Iterable<KnownNode>;
  /**
   * Whether this process may not have heard of all nodes yet, because it has
   * just started.
   */
  readonly isNew: boolean;
}

export interface Allocators {
  readonly nodeCount: number;
  readonly domain: NodeId;
  readonly fleet: NodeId;
}

/** Each allocator is the first live node by a rendezvous hash. */
export function chooseAllocators(opts: ChooseAllocatorsOptions): Allocators {
  const { self, domain, domainCount } = opts;
  let count = 1;
  const domains = new Set([domain]);
  let countInDomain = 1;
  let first = { node: self, rank: hashText(`domain ${self}`) };
  let firstOfFleet = { node: self, rank: hashText(`fleet ${self}`) };
  for (const known of opts.known) {
    const { node } = known;
    if (node === self) continue;
    count++;
    domains.add(known.domain);
    const isOwnDomain = known.domain === domain;
    if (isOwnDomain) countInDomain++;
    if (!known.isLive) continue;
    firstOfFleet = lower(firstOfFleet, {
      node,
      rank: hashText(`fleet ${node}`),
    });
    if (!isOwnDomain) continue;
    first = lower(first, { node, rank: hashText(`domain ${node}`) });
  }
  return {
    // A node that knows only its own domain must not count too few. Where all
    // domains are known, the same rule would count an uneven fleet too high: 82
    // nodes of which 49 are in one of 4 domains would use 62% of the limits.
    nodeCount: opts.isNew
      ? Math.max(count, domainCount * countInDomain)
      : count + Math.max(0, domainCount - domains.size) * countInDomain,
    domain: first.node,
    fleet: firstOfFleet.node,
  };
}

interface Ranked {
  readonly node: NodeId;
  readonly rank: number;
}

function lower(a: Ranked, b: Ranked): Ranked {
  if (a.rank !== b.rank) return a.rank < b.rank ? a : b;
  return a.node < b.node ? a : b;
}
