/**
 * The envelope of messages that other slices broadcast to the failure domain.
 * Names of messages and fields are on the wire.
 * @module
 */
import * as v from "valibot";
import type { NodeId } from "../core/types.ts";

/** Identifies a broadcast: `origin/boot/number`; `boot` names the process. */
export type BroadcastId = string;

export type OverlayMessage<Inner> =
  | {
    readonly type: "overlay/broadcast";
    readonly id: BroadcastId;
    readonly origin: NodeId;
    /** End of the receiver's range. Null: the receiver forwards nothing. */
    readonly until: NodeId | null;
    readonly message: Inner;
  }
  /** Confirms a broadcast to the node that sent it here. */
  | { readonly type: "overlay/ack"; readonly id: BroadcastId };

const nodeSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(256));
const idSchema = v.pipe(v.string(), v.minLength(1), v.maxLength(512));

/** Validates the envelope that a peer sent, but not the message inside. */
export const overlaySchema: v.GenericSchema<unknown, OverlayMessage<unknown>> =
  v.variant("type", [
    v.strictObject({
      type: v.literal("overlay/broadcast"),
      id: idSchema,
      origin: nodeSchema,
      until: v.nullable(nodeSchema),
      message: v.looseObject({ type: v.string() }),
    }),
    v.strictObject({ type: v.literal("overlay/ack"), id: idSchema }),
  ]);
