/**
 * Every message that nodes send each other, and how it is checked.
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
import type { OnceMessage } from "../once/messages.ts";
import type { QuarantineMessage } from "../quarantine/messages.ts";
import type { RolloutMessage } from "../rollout/messages.ts";

export type PeerMessage =
  | DistributionMessage
  | MembershipMessage
  | OnceMessage
  | QuarantineMessage
  | RolloutMessage;

/** Version of all messages. Peers of another version are refused. */
export const protocolVersion = 1;

/** Schemas by the part of a message's type before the slash. */
const schemas: Readonly<Record<string, v.GenericSchema>> = {
  distribution: distributionSchema,
  membership: membershipSchema,
  once: looseOf("once/"),
  quarantine: looseOf("quarantine/"),
  rollout: looseOf("rollout/"),
};

/** Fields of these messages are not checked yet. */
function looseOf(prefix: string): v.GenericSchema {
  return v.looseObject({ type: v.pipe(v.string(), v.startsWith(prefix)) });
}

/** Checks a decoded message. The error names the peer and the field. */
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
  if (parsed.success) return ok(parsed.output as PeerMessage);
  const [issue] = parsed.issues;
  return fail(`${v.getDotPath(issue) ?? "message"}: ${issue.message}`);
}
