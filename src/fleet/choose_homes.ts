/**
 * Chooses the home nodes that this node keeps links to for its calls.
 * @module
 */
import { hashText } from "../core/hash_text.ts";
import type { NodeId } from "../core/types.ts";

/**
 * Number of home nodes for each version of a service. Few links suffice, since
 * a node spreads its own calls only; the links of all callers together reach
 * every endpoint.
 */
export const HOMES_PER_VERSION = { sameDomain: 6, otherDomains: 4 };

/** A node with a ready endpoint of the service. */
export interface HomeOption {
  readonly node: NodeId;
  readonly domain: string;
  readonly version: string;
}

/** Options of `chooseHomes`. */
export interface ChooseHomesOptions {
  readonly self: NodeId;
  readonly domain: string;
  /** Ready endpoints of the service on other nodes. */
  readonly options: readonly HomeOption[];
  /** Number of home nodes to choose beyond the usual number. */
  readonly extra: number;
}

/**
 * Returns home nodes of each version, of this failure domain and of others.
 *
 * Each caller ranks the home nodes by a hash of both addresses. The ranks of
 * callers differ, so the endpoints get about equal shares of the calls, and
 * most ranks stay the same when nodes come or go.
 */
export function chooseHomes(opts: ChooseHomesOptions): NodeId[] {
  const groups = new Map<string, HomeOption[]>();
  for (const option of opts.options) {
    const isSame = option.domain === opts.domain;
    const key = `${isSame ? "same" : "other"} ${option.version}`;
    const group = groups.get(key);
    if (group === undefined) groups.set(key, [option]);
    else group.push(option);
  }
  return [...groups].flatMap(([key, group]) => {
    const usual = key.startsWith("same ")
      ? HOMES_PER_VERSION.sameDomain
      : HOMES_PER_VERSION.otherDomains;
    const nodes = group.map(({ node }) => node);
    const count = usual + opts.extra;
    return nodes.length <= count ? nodes : topRanked(opts.self, nodes, count);
  });
}

function topRanked(
  self: NodeId,
  nodes: readonly NodeId[],
  count: number,
): NodeId[] {
  return nodes
    .map((node) => ({ node, rank: hashText(`${self} ${node}`) }))
    .sort((a, b) => b.rank - a.rank)
    .slice(0, count)
    .map(({ node }) => node);
}
