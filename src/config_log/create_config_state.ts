/**
 * Creates the configuration state before any record is folded.
 * @module
 */
import type { ConfigState } from "./state.ts";

/** Offset of the first record in a stream. Offset 0 stands for "no record". */
export const FIRST_OFFSET = 1;

/** Creates the configuration state of an empty log. */
export function createConfigState(): ConfigState {
  return {
    next: FIRST_OFFSET,
    version: 0,
    customersAt: 0,
    digest: "",
    customers: new Map(),
    uses: new Map(),
    rollouts: new Map(),
    withdrawn: new Map(),
    removals: new Map(),
    leases: new Map(),
    presence: new Map(),
    writers: new Map(),
    snapshotThrough: 0,
    snapshotsBegun: new Map(),
    audit: [],
  };
}
