/**
 * Finds the nodes that receive the run counts of traffic shifts.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { ReaderStatus } from "../reader_election/state.ts";

/**
 * Number of nodes of each kind: the leader of traffic shifts and its successor.
 */
const LEADERS_PER_KIND = 2;

/**
 * Returns the first nodes that read the store, and the first that would read it
 * if those failed. A node that becomes the leader needs the counts of all
 * nodes. Without them, it would decide for seconds by the counts of its failure
 * domain.
 */
export function findLeaders(
  readerStatuses: ReadonlyMap<NodeId, ReaderStatus>,
): ReadonlySet<NodeId> {
  const nodes = [...readerStatuses.keys()].toSorted();
  const isReader = (node: NodeId) =>
    readerStatuses.get(node) === ReaderStatus.Healthy;
  const mayRead = (node: NodeId) =>
    readerStatuses.get(node) !== ReaderStatus.Failing;
  return new Set([
    ...nodes.filter(isReader).slice(0, LEADERS_PER_KIND),
    ...nodes.filter(mayRead).slice(0, LEADERS_PER_KIND),
  ]);
}
