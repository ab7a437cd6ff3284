/**
 * Records holds that readers reported to the lease holder.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Leadership, RemoteHold } from "./state.ts";

/** Limit of recorded holds. This lease holder does not release further ones. */
const MAX_REMOTE_HOLDS = 256;

/** Records a hold that a reader reported. Ignores repeats of an open hold. */
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
