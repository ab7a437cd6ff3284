/**
 * Orders the live nodes of a failure domain by hash.
 * @module
 */
import { createHash } from "node:crypto";
import type { NodeId } from "../core/types.ts";

/** Nodes in order of hash. Nodes with the same members hold the same ring. */
export interface Ring {
  readonly ids: readonly NodeId[];
  /** Hash of each node, ascending. */
  readonly hashes: readonly number[];
}

const hashBytes = 6;

/** Builds the ring of the members given. */
export function buildRing(members: Iterable<NodeId>): Ring {
  const spots = [...members].map((id) => ({ id, hash: hashNode(id) }))
    .sort((a, b) => a.hash - b.hash || (a.id < b.id ? -1 : 1));
  return {
    ids: spots.map((one) => one.id),
    hashes: spots.map((one) => one.hash),
  };
}

/** Position of a node on the ring, from 0 to 2^48. */
export function hashNode(id: NodeId): number {
  return createHash("sha1").update(id).digest().readUIntBE(0, hashBytes);
}
