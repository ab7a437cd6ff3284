/**
 * Finds the readers to which a lease holder sends its orders.
 * @module
 */
import type { NodeId } from "../core/types.ts";
import type { Leadership, RolloutState } from "./state.ts";

/** Returns the readers that sent evidence or a hold to this lease holder. */
export function findReportingReaders(
  state: RolloutState,
  lead: Leadership,
): readonly NodeId[] {
  const reporters = [...lead.inbox.sources.keys()].map((source) =>
    source.split("/")[0] ?? ""
  );
  const holdSenders = [...lead.holds.values()].map((hold) => hold.from);
  return [...new Set([...reporters, ...holdSenders])]
    .filter((id) => id !== state.self);
}
