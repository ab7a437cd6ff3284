/**
 * All messages between nodes and the validation of received ones.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import * as v from "valibot";
import type { LagoonError } from "../core/errors.ts";
import type { NodeId } from "../core/types.ts";
import {
  type DistributionMessage,
  distributionSchema,
} from "../distribution/messages.ts";
import {
  type MembershipMessage,
  membershipSchema,
} from "../membership/messages.ts";
import {
  type IdempotencyMessage,
  idempotencySchema,
} from "../idempotency/messages.ts";
import { type OverlayMessage, overlaySchema } from "../overlay/messages.ts";
import {
  type QuarantineMessage,
  quarantineSchema,
} from "../quarantine/messages.ts";
import { type RolloutMessage, rolloutSchema } from "../rollout/messages.ts";

/** Messages of all slices, except the overlay that carries broadcasts. */
export type SliceMessage =
  | DistributionMessage
  | MembershipMessage
  | IdempotencyMessage
  | QuarantineMessage
  | RolloutMessage;

export type PeerMessage = SliceMessage | OverlayMessage<SliceMessage>;

/** Protocol version of all messages. Peers of another version are refused. */
export const PROTOCOL_VERSION = 1;

/** Schemas by the part of a message's type before the slash. */
const schemas: Readonly<Record<string, v.GenericSchema>> = {
  distribution: distributionSchema,
  membership: membershipSchema,
  once: idempotencySchema,
  overlay: overlaySchema,
  quarantine: quarantineSchema,
  rollout: rolloutSchema,
};

/** Validates a decoded message. The error names the peer and the field. */
export function parsePeerMessage(
  from: NodeId,
  value: unknown,
): Result<PeerMessage, LagoonError> {
  const type = value !== null && typeof value === "object" && "type" in value
    ? String(value.type).slice(0, 64)
    : "a message without a type";
  const [part = ""] = type.split("/");
  const schema = Object.hasOwn(schemas, part) ? schemas[part] : undefined;
  const fail = (message: string) =>
    err<never, LagoonError>({
      code: "LAGOON_PEER_MESSAGE_MALFORMED",
      step: `take ${type}`,
      peer: from,
      message,
    });
  if (schema === undefined) return fail("no such message is known");
  const parsed = v.safeParse(schema, value);
  if (parsed.success) return parseInner(from, parsed.output as PeerMessage);
  const [issue] = parsed.issues;
  return fail(`${v.getDotPath(issue) ?? "message"}: ${issue.message}`);
}

/** Validates the message in a broadcast, which must not be a broadcast. */
function parseInner(
  from: NodeId,
  outer: PeerMessage,
): Result<PeerMessage, LagoonError> {
  if (outer.type !== "overlay/broadcast") return ok(outer);
  const inner: { readonly type: string } = outer.message;
  if (!inner.type.startsWith("overlay/")) {
    return parsePeerMessage(from, inner).map(() => outer);
  }
  return err({
    code: "LAGOON_PEER_MESSAGE_MALFORMED",
    step: `take ${outer.type}`,
    peer: from,
    message: "message: a broadcast inside a broadcast",
  });
}
