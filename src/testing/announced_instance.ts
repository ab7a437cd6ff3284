/**
 * An endpoint instance as decoded from its pings, for tests.
 * @module
 */
import {
  type Instance,
  InstancePhase,
  type InstancePing,
  type ProcessStart,
} from "../local_endpoint/state.ts";

/** A ready endpoint with two slots, past its cold start. */
export const ANNOUNCED_INSTANCE: Instance = {
  id: "i-1",
  bornAt: 0,
  seq: 1,
  service: "one",
  address: "10.0.0.1:8080",
  version: "v1",
  slots: 2,
  phase: InstancePhase.Ready,
  coldUntil: -Infinity,
  heardAt: 0,
};

/** Start of a node's process, before that of any endpoint. */
export const PROCESS_START: ProcessStart = {
  at: 0,
  wallAt: 0,
  pingIntervalMs: 1_500,
  unprovenMs: 2_800,
};

/** A ping of a ready endpoint, with other values for some fields. */
export function pingOf(fields: Partial<InstancePing>): InstancePing {
  return {
    id: "i-1",
    bornAt: 1_000,
    seq: 1,
    service: "one",
    address: "10.0.0.1:8080",
    version: "v1",
    slots: 6,
    phase: InstancePhase.Ready,
    coldMs: 0,
    ...fields,
  };
}
