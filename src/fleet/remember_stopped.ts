/**
 * Remembers the instances that stopped beside each node, for the node's next
 * process.
 * @module
 */
import { MAX_PING_DELAY_MS } from "../local_endpoint/judge_presence.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { NodeRow } from "./messages.ts";
import type { FleetState } from "./state.ts";

/** Maximum number of instances that are remembered of each node. */
const MAX_REMEMBERED = 8;

/** The stopped instances that the processes of a node announced. */
export interface StoppedMemory {
  /** Id of the latest known process lifetime. */
  readonly life: string;
  /** The newest last. */
  readonly stopped: readonly StoppedInstance[];
  /**
   * From when on no stopped instance is missing. A process does not know at its
   * start what earlier ones were told, and late pings end after
   * `MAX_PING_DELAY_MS`.
   */
  readonly completeAt: MonotonicMs;
}

/** Remembers what a row states. Rows of a new process add to earlier ones. */
export function rememberStopped(
  state: FleetState,
  row: NodeRow,
  now: MonotonicMs,
) {
  const known = state.gone.get(row.node);
  const isComplete = known !== undefined && now >= known.completeAt;
  const isSameLife = known?.life === row.life;
  state.gone.set(row.node, {
    life: row.life,
    stopped: mergeStopped(known?.stopped ?? [], row.gone ?? []),
    completeAt: isComplete || isSameLife
      ? known.completeAt
      : now + MAX_PING_DELAY_MS,
  });
}

/** Returns the answer to a node's hello, if anything of use is known. */
export function recallStopped(
  state: FleetState,
  node: NodeId,
  now: MonotonicMs,
): { gone: readonly StoppedInstance[]; isComplete: boolean } | undefined {
  const known = state.gone.get(node);
  if (known === undefined) return undefined;
  const isComplete = now >= known.completeAt;
  return isComplete || known.stopped.length > 0
    ? { gone: known.stopped, isComplete }
    : undefined;
}

function mergeStopped(
  known: readonly StoppedInstance[],
  stated: readonly StoppedInstance[],
): readonly StoppedInstance[] {
  if (stated.length === 0) return known;
  const byId = new Map(known.map((one) => [one.id, one]));
  for (const one of stated) {
    const bornAt = Math.max(one.bornAt, byId.get(one.id)?.bornAt ?? 0);
    byId.delete(one.id);
    byId.set(one.id, { id: one.id, bornAt });
  }
  return [...byId.values()].slice(-MAX_REMEMBERED);
}
