/**
 * What this node measures of versions, and the rollouts that it leads.
 * @module
 */
import type { ConfigRecord } from "../config_log/messages.ts";
import type { ConfigState } from "../config_log/state.ts";
import type { MonotonicMs, NodeId, WallMs } from "../core/types.ts";
import type { RolloutMessage, RouteCounts } from "./messages.ts";

/** How a call to an upstream ended. */
export const CallOutcome = {
  Served: "served",
  /** An error status, a broken answer or a time-out. */
  Failed: "failed",
} as const;
export type CallOutcome = typeof CallOutcome[keyof typeof CallOutcome];

export interface RolloutState {
  readonly self: NodeId;
  /** Counts not yet told, by `service version route`. */
  local: Map<string, RouteCounts>;
  /** Counts of the whole fleet for rollouts led here. */
  gathered: Map<string, RouteCounts>;
  /** Monotonic time of the last step of each rollout led here. */
  steppedAt: Map<string, MonotonicMs>;
  /** Rollouts whose lease was claimed, until the fold answers. */
  claimedAt: Map<string, MonotonicMs>;
  /** Versions that get no calls from this node, `service@version`. */
  held: Set<string>;
}

export type RolloutEvent =
  | {
    readonly type: "answered";
    readonly service: string;
    readonly version: string;
    readonly route: string;
    readonly outcome: CallOutcome;
    readonly latencyMs: number;
  }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: RolloutMessage;
  }
  | {
    readonly type: "ticked";
    readonly now: MonotonicMs;
    readonly wall: WallMs;
    readonly config: ConfigState;
    /** Whether this node may claim leases: a reader of its domain. */
    readonly isReader: boolean;
    /** Live nodes known, of any domain. */
    readonly alive: ReadonlySet<NodeId>;
  };

export type RolloutEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: RolloutMessage;
  }
  | { readonly type: "append"; readonly record: ConfigRecord }
  /** The local hold on a version began or ended. */
  | { readonly type: "hold-changed" };

export function createRolloutState(self: NodeId): RolloutState {
  return {
    self,
    local: new Map(),
    gathered: new Map(),
    steppedAt: new Map(),
    claimedAt: new Map(),
    held: new Set(),
  };
}
