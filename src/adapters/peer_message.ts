/**
 * Every message that nodes send each other.
 * @module
 */
import type { DistributionMessage } from "../distribution/messages.ts";
import type { MembershipMessage } from "../membership/messages.ts";
import type { RolloutMessage } from "../rollout/messages.ts";

export type PeerMessage =
  | DistributionMessage
  | MembershipMessage
  | RolloutMessage;
