/**
 * Splits a broadcast over ranges of the ring, so that each member gets it once.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import { hashNode, type Ring } from "./build_ring.ts";

/** A peer to send to, and the end of the range that it forwards to. */
export interface Delegation {
  readonly to: NodeId;
  /** First node past the range, clockwise. */
  readonly until: NodeId;
}

/**
 * Delegates the members between `self` and `until`, clockwise and without these
 * two. The origin sets `until` to itself and so reaches the complete ring.
 *
 * Ranges are bounds on hashes, so peers with differing views still agree on
 * which peer forwards to which range. Ranges only shrink, so a broadcast always
 * ends.
 */
export function delegateBroadcast(
  ring: Ring,
  self: NodeId,
  until: NodeId,
): Delegation[] {
  const start = firstAfter(ring, hashNode(self));
  const count = countUntil(ring, self, until, start);
  const found: Delegation[] = [];
  for (let step = 1; step <= count; step *= 2) {
    const isLast = step * 2 > count;
    found.push({
      to: at(ring, start + step - 1),
      until: isLast ? until : at(ring, start + step * 2 - 1),
    });
  }
  return found;
}

/** Returns the overlay neighbours: nodes at distances 1, 2, 4 and so on. */
export function listFingers(ring: Ring, self: NodeId): NodeId[] {
  return delegateBroadcast(ring, self, self).map((one) => one.to);
}

/** Returns the next `count` nodes clockwise, without `self`. */
export function listSuccessors(
  ring: Ring,
  self: NodeId,
  count: number,
): NodeId[] {
  const start = firstAfter(ring, hashNode(self));
  const length = Math.min(count, countUntil(ring, self, self, start));
  return Array.from({ length }, (_, index) => at(ring, start + index));
}

/** Returns the index of the first greater hash, or the ring's length. */
function firstAfter(ring: Ring, hash: number): number {
  let low = 0;
  let high = ring.hashes.length;
  while (low < high) {
    const middle = (low + high) >> 1;
    if ((ring.hashes[middle] ?? 0) <= hash) low = middle + 1;
    else high = middle;
  }
  return low;
}

function countUntil(
  ring: Ring,
  self: NodeId,
  until: NodeId,
  start: number,
): number {
  const total = ring.ids.length;
  if (until === self) return total - (ring.ids.includes(self) ? 1 : 0);
  const hash = hashNode(until);
  const after = firstAfter(ring, hash);
  const isMember = ring.ids[after - 1] === until;
  const end = isMember ? after - 1 : after;
  const count = end - start;
  const isWrapped = hash <= hashNode(self);
  return isWrapped ? count + total : Math.max(0, count);
}

function at(ring: Ring, index: number): NodeId {
  const id = ring.ids[index % ring.ids.length];
  if (id === undefined) throw new RangeError("the ring is empty");
  return id;
}
