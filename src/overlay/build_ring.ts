/**
 * Builds a hash ring of the nodes of a failure domain.
 * @module
 */
import { createHash } from "node:crypto";
import type { NodeId } from "../core/types.ts";

/** Nodes in the order of their hashes. Equal member lists give equal rings. */
export interface Ring {
  readonly ids: readonly NodeId[];
  /** Hash of each node, ascending. */
  readonly hashes: readonly number[];
}

/** Leading bytes of the SHA-1 hash of an id that give its position. */
const HASH_BYTES = 6;

/** Builds the ring of the given members. */
export function buildRing(members: Iterable<NodeId>): Ring {
  const positions = [...members].map((id) => ({ id, hash: hashNode(id) }))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
  return {
    ids: positions.map((one) => one.id),
    hashes: positions.map((one) => one.hash),
  };
}

/** Returns the position of a node on the ring, from 0 to 2^48. */
export function hashNode(id: NodeId): number {
  return createHash("sha1").update(id).digest().readUIntBE(0, HASH_BYTES);
}
