/**
 * Functions that create the state of each recorded slice and run its decisions.
 * @module
 */
import { createAdmissionState } from "../admission/state.ts";
import { decideAdmission } from "../admission/decide_admission.ts";
import {
  createAppendState,
  decideAppend,
} from "../config_log/decide_append.ts";
import { createConfigState } from "../config_log/create_config_state.ts";
import { type ConfigEvent, decideConfig } from "../config_log/decide_config.ts";
import { decodeSnapshot } from "../config_log/decode_snapshot.ts";
import type { ConfigState } from "../config_log/state.ts";
import { decideDistribution } from "../distribution/decide_distribution.ts";
import { createDistributionState } from "../distribution/state.ts";
import { decideMembership } from "../membership/decide_membership.ts";
import { createMembershipState } from "../membership/state.ts";
import {
  createClaimRequestState,
  decideClaimRequest,
} from "../idempotency/decide_claim_request.ts";
import {
  createClaimReaderState,
  decideClaimReader,
} from "../idempotency/decide_claim_reader.ts";
import { type BeginEvent, decideBegin } from "../quarantine/decide_begin.ts";
import { decideQuarantine } from "../quarantine/decide_quarantine.ts";
import {
  createQuarantineState,
  type QuarantineEvent,
  type QuarantineState,
} from "../quarantine/state.ts";
import { decideRollout } from "../rollout/decide_rollout.ts";
import { createRolloutState } from "../rollout/state.ts";
import { decideServing } from "../serving/decide_serving.ts";
import { createServingState } from "../serving/state.ts";
import { TraceSlice } from "./messages.ts";
import type { ReplaySlice } from "./replay_trace.ts";

interface RingOptions {
  readonly self: string;
  readonly next: number;
}

interface BootOptions {
  readonly self: string;
  readonly boot: string;
}

/** All slices that a node records, by their names in traces. */
export const replaySlices: Readonly<Record<TraceSlice, ReplaySlice>> = {
  [TraceSlice.Config]: {
    create: () => createConfigState(),
    decide: decideConfig,
    replacement: replaceConfig,
  },
  [TraceSlice.Serving]: {
    create: () => createServingState(),
    decide: decideServing,
  },
  [TraceSlice.Append]: { create: createAppendState, decide: decideAppend },
  [TraceSlice.Membership]: {
    create: createMembershipState,
    decide: decideMembership,
  },
  [TraceSlice.Distribution]: {
    create: ({ self, next }: RingOptions) =>
      createDistributionState(self, next),
    decide: decideDistribution,
  },
  [TraceSlice.Rollout]: { create: createRolloutState, decide: decideRollout },
  [TraceSlice.Ask]: {
    create: createClaimRequestState,
    decide: decideClaimRequest,
  },
  [TraceSlice.ClaimReader]: {
    create: createClaimReaderState,
    decide: decideClaimReader,
  },
  [TraceSlice.Quarantine]: {
    create: ({ self, boot }: BootOptions) => createQuarantineState(self, boot),
    decide: (state: QuarantineState, event: QuarantineEvent | BeginEvent) =>
      event.type === "begin"
        ? decideBegin(state, event)
        : decideQuarantine(state, event),
  },
  [TraceSlice.Admission]: {
    create: () => createAdmissionState(),
    decide: decideAdmission,
  },
};

function replaceConfig(
  _state: ConfigState,
  event: ConfigEvent,
): ConfigState | undefined {
  if (event.type === "record") return undefined;
  return decodeSnapshot(event.snapshot).unwrapOr(undefined);
}
