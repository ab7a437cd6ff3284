/**
 * A replayed decision with the types of its slice.
 * @module
 */
import type { AdmissionEvent } from "../admission/state.ts";
import type { AppendEffect, AppendEvent } from "../config_log/decide_append.ts";
import type { ConfigEvent } from "../config_log/decide_config.ts";
import type { ConfigState, Verdict } from "../config_log/state.ts";
import type { NodeId } from "../core/types.ts";
import type { MembershipEvent, MembershipState } from "../membership/state.ts";
import type {
  ClaimRequestEffect,
  ClaimRequestEvent,
  ClaimRequestState,
} from "../idempotency/state.ts";
import type { BeginEvent } from "../quarantine/decide_begin.ts";
import type { QuarantineEvent, QuarantineState } from "../quarantine/state.ts";
import type { RolloutEffect, RolloutEvent } from "../rollout/state.ts";
import type { ServingEffect, ServingEvent } from "../serving/state.ts";
import type { TraceSlice } from "./messages.ts";

interface Of<Slice extends TraceSlice, Event, Effect, State = unknown> {
  /** Line of the trace, from 1. */
  readonly line: number;
  readonly node: NodeId;
  readonly slice: Slice;
  readonly event: Event;
  readonly effects: readonly Effect[];
  /** State after the decision. Later decisions change it. */
  readonly state: State;
}

export type TracedDecision =
  | Of<typeof TraceSlice.Config, ConfigEvent, Verdict, ConfigState>
  | Of<typeof TraceSlice.Serving, ServingEvent, ServingEffect>
  | Of<typeof TraceSlice.Append, AppendEvent, AppendEffect>
  | Of<
    typeof TraceSlice.Membership,
    MembershipEvent,
    unknown,
    MembershipState
  >
  | Of<typeof TraceSlice.Distribution, unknown, unknown>
  | Of<typeof TraceSlice.Rollout, RolloutEvent, RolloutEffect>
  | Of<
    typeof TraceSlice.Ask,
    ClaimRequestEvent,
    ClaimRequestEffect,
    ClaimRequestState
  >
  | Of<typeof TraceSlice.ClaimReader, unknown, unknown>
  | Of<
    typeof TraceSlice.Quarantine,
    QuarantineEvent | BeginEvent,
    unknown,
    QuarantineState
  >
  | Of<typeof TraceSlice.Admission, AdmissionEvent, unknown>;
