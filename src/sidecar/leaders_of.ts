/**
 * Which nodes keep the evidence of moves.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { ReaderStatus } from "../reader_election/state.ts";

/** Nodes of each kind: the one that leads, and the next. */
const leaderCount = 2;

/**
 * Returns the first nodes that read the store, and the first that would once
 * those are gone. A node that begins to lead has to know what the moves' ends
 * depend on: it would judge by its own domain's evidence for seconds.
 */
export function leadersOf(
  readings: ReadonlyMap<NodeId, ReaderStatus>,
): ReadonlySet<NodeId> {
  const nodes = [...readings.keys()].toSorted();
  const isReader = (node: NodeId) =>
    readings.get(node) === ReaderStatus.Healthy;
  const mayRead = (node: NodeId) => readings.get(node) !== ReaderStatus.Failing;
  return new Set([
    ...nodes.filter(isReader).slice(0, leaderCount),
    ...nodes.filter(mayRead).slice(0, leaderCount),
  ]);
}
