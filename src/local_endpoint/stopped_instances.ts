/**
 * What other nodes are told of endpoints that leave.
 * @module
 */
import {
  InstancePhase,
  type LocalEndpointState,
  type StoppedInstance,
} from "./state.ts";

/** Starts that other nodes are told of. */
const maxTold = 4;

/** Starts that take no more calls, the newest last. */
export function stoppedInstances(
  state: LocalEndpointState,
): readonly StoppedInstance[] {
  const { current, left } = state;
  const gone = [...left].map(([id, bornAt]) => ({ id, bornAt }));
  if (current?.phase === InstancePhase.Draining) {
    gone.push({ id: current.id, bornAt: current.bornAt });
  }
  return gone.slice(-maxTold);
}
