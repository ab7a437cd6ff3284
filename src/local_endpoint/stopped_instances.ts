/**
 * Lists the stopped instances that are announced to other nodes.
 * @module
 */
import {
  InstancePhase,
  type LocalEndpointState,
  type StoppedInstance,
} from "./state.ts";

/** Maximum number of stopped instances that are announced. */
const MAX_ANNOUNCED_INSTANCES = 4;

/** Returns the newest instances that get no more calls, the newest last. */
export function stoppedInstances(
  state: LocalEndpointState,
): readonly StoppedInstance[] {
  const { current, left } = state;
  const gone = [...left].map(([id, bornAt]) => ({ id, bornAt }));
  if (current?.phase === InstancePhase.Draining) {
    gone.push({ id: current.id, bornAt: current.bornAt });
  }
  return gone.slice(-MAX_ANNOUNCED_INSTANCES);
}
