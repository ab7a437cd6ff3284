/**
 * Notes holds that the holder was told of.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { Leadership, RemoteHold } from "./state.ts";

/** Holds kept. Further ones are not released by this holder. */
const maxOrigins = 256;

/** Notes a hold that a reader told of. A repeat of an open one is nothing. */
export function recordRemoteHold(
  lead: Leadership,
  from: NodeId,
  origin: NodeId,
  now: MonotonicMs,
) {
  const key = `${from} ${origin}`;
  const told = lead.holds.get(key);
  if (told?.isOpen === true) return;
  if (told === undefined && lead.holds.size >= maxOrigins) return;
  const releases = told?.releases ?? 0;
  const hold: RemoteHold = { from, origin, at: now, releases, isOpen: true };
  lead.holds.set(key, hold);
}
