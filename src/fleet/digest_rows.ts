/**
 * Compares the rows that two nodes know without sending them.
 * @module
 */
import { hashText } from "../core/hash_text.ts";
import type { DomainDigest, NodeRow } from "./messages.ts";
import { type FleetState, liveRows } from "./state.ts";

/** Hashes of rows, which are compared every few seconds and change rarely. */
const hashes = new WeakMap<NodeRow, number>();

/** Digests the rows of each failure domain. Rows of lost nodes don't count. */
export function digestRows(state: FleetState): readonly DomainDigest[] {
  const digests = new Map<string, DomainDigest>();
  for (const { row } of liveRows(state)) {
    const { domain } = row;
    const known = digests.get(domain) ?? { domain, count: 0, hash: 0 };
    const hash = (known.hash ^ hashRow(row)) >>> 0;
    digests.set(domain, { domain, count: known.count + 1, hash });
  }
  return [...digests.values()];
}

/** Returns the failure domains of which the peer knows other rows. */
export function differingDomains(
  own: readonly DomainDigest[],
  peer: readonly DomainDigest[],
): readonly string[] {
  const ownByDomain = new Map(own.map((digest) => [digest.domain, digest]));
  return peer.flatMap(({ domain, count, hash }) => {
    const known = ownByDomain.get(domain);
    return known?.count === count && known.hash === hash ? [] : [domain];
  });
}

function hashRow(row: NodeRow): number {
  const known = hashes.get(row);
  if (known !== undefined) return known;
  const hash = hashText(`${row.node} ${row.life} ${row.revision}`);
  hashes.set(row, hash);
  return hash;
}
