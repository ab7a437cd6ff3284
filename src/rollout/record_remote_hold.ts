/**
 * Records holds that the lease holder has to confirm or release.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Leadership, RemoteHold } from "./state.ts";

/**
 * Limit on the recorded holds. Further ones are not recorded, so they are
 * released only together with recorded ones.
 */
const MAX_REMOTE_HOLDS = 256;

/** Records a hold of the version. Ignores repeats of an open hold. */
export function recordRemoteHold(
  lead: Leadership,
  from: NodeId,
  origin: NodeId,
  now: MonotonicMs,
) {
  const key = `${from} ${origin}`;
  const known = lead.holds.get(key);
  if (known?.isOpen === true) return;
  if (known === undefined && lead.holds.size >= MAX_REMOTE_HOLDS) return;
  const releases = known?.releases ?? 0;
  const hold: RemoteHold = { from, origin, at: now, releases, isOpen: true };
  lead.holds.set(key, hold);
}
