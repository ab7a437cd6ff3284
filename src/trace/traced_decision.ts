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

interface SliceDecision<
  Slice extends TraceSlice,
  Event,
  Effect,
  State = unknown,
> {
  /** Line number in the trace, from 1. */
  readonly line: number;
  readonly node: NodeId;
  readonly slice: Slice;
  readonly event: Event;
  readonly effects: readonly Effect[];
  /** State after the decision. Later decisions mutate the same object. */
  readonly state: State;
}

export type TracedDecision =
  | SliceDecision<typeof TraceSlice.Config, ConfigEvent, Verdict, ConfigState>
  | SliceDecision<typeof TraceSlice.Serving, ServingEvent, ServingEffect>
  | SliceDecision<typeof TraceSlice.Append, AppendEvent, AppendEffect>
  | SliceDecision<
    typeof TraceSlice.Membership,
    MembershipEvent,
    unknown,
    MembershipState
  >
  | SliceDecision<typeof TraceSlice.Distribution, unknown, unknown>
  | SliceDecision<typeof TraceSlice.Rollout, RolloutEvent, RolloutEffect>
  | SliceDecision<
    typeof TraceSlice.Ask,
    ClaimRequestEvent,
    ClaimRequestEffect,
    ClaimRequestState
  >
  | SliceDecision<typeof TraceSlice.ClaimReader, unknown, unknown>
  | SliceDecision<
    typeof TraceSlice.Quarantine,
    QuarantineEvent | BeginEvent,
    unknown,
    QuarantineState
  >
  | SliceDecision<typeof TraceSlice.Admission, AdmissionEvent, unknown>;
