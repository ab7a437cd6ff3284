/**
 * Names the readers that a holder tells of its orders.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import type { Leadership, RolloutState } from "./state.ts";

/** Readers of other domains that reported or told a hold to this holder. */
export function readersOf(
  state: RolloutState,
  lead: Leadership,
): readonly NodeId[] {
  const reporters = [...lead.inbox.sources.keys()].map((source) =>
    source.split("/")[0] ?? ""
  );
  const tellers = [...lead.holds.values()].map((hold) => hold.from);
  return [...new Set([...reporters, ...tellers])]
    .filter((id) => id !== state.self);
}
