/**
 * Decides which failure domains are evacuated.
 * @module
 */
import type {
  EvacuationEffect,
  EvacuationEvent,
  EvacuationState,
} from "./state.ts";

/** Applies one record. Records that change nothing have no effect. */
export function decideEvacuation(
  state: EvacuationState,
  event: EvacuationEvent,
): readonly EvacuationEffect[] {
  const { domain, isActive, isKnown } = event;
  if (state.domains.has(domain) === isActive) return [];
  if (isActive) {
    // An unknown domain is kept too: its first node may start later.
    state.domains.add(domain);
    if (isKnown) return [{ type: "began", domain }];
    state.unknown.add(domain);
    return [{ type: "unknown-domain", domain }];
  }
  state.domains.delete(domain);
  return state.unknown.delete(domain) ? [] : [{ type: "ended", domain }];
}
