/**
 * Chooses the readers of a failure domain: the nodes that follow the log.
 * @module
 */
import { createHash } from "node:crypto";
import type { NodeId } from "../core/types.ts";

/** Number of readers in each domain. If one dies, the other still reads. */
export const READERS_PER_DOMAIN = 2;

/**
 * Picks readers by rendezvous hash. Nodes with the same view pick the same
 * readers; a stale view adds one reader, which is harmless.
 */
export function pickReaders(
  members: readonly NodeId[],
  domain: string,
): NodeId[] {
  return members
    .map((id) => ({ id, weight: weigh(id, domain) }))
    .sort((a, b) => a.weight < b.weight ? -1 : 1)
    .slice(0, READERS_PER_DOMAIN)
    .map((one) => one.id);
}

function weigh(id: NodeId, domain: string): string {
  return createHash("sha1").update(`${domain} ${id}`).digest("hex");
}
