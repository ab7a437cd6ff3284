/**
 * Messages about the limits of accounts between a node and an allocator.
 * @module
 */
import * as v from "valibot";
import type { MonotonicMs } from "../core/types.ts";

/** Tier of a node that a message is for, or comes from. */
export type LowerTier = "node" | "domain";
export type UpperTier = "domain" | "fleet";

export type AllowanceMessage =
  /** Requests beats, so that the sender can lease its share. */
  | { readonly type: "allowance/join"; readonly tier: UpperTier }
  /** Requests a lease. */
  | {
    readonly type: "allowance/beat";
    readonly tier: LowerTier;
    /** Time on the sender's clock. */
    readonly stamp: MonotonicMs;
  }
  /** Leases the sender's share to the receiver, of all accounts. */
  | {
    readonly type: "allowance/lease";
    readonly tier: UpperTier;
    /** Stamp of the beat that this answers. */
    readonly echo: MonotonicMs;
    readonly share: number;
    readonly termMs: number;
    /** Fractions of the share that the sender keeps, by account. */
    readonly kept: readonly (readonly [account: string, ratio: number])[];
  }
  /** Requests tokens of an account. */
  | {
    readonly type: "allowance/ask";
    readonly tier: UpperTier;
    readonly stamp: MonotonicMs;
    readonly account: string;
    readonly count: number;
  }
  /** Answers an ask. */
  | {
    readonly type: "allowance/grant";
    readonly tier: LowerTier;
    /** Stamp of the ask. */
    readonly echo: MonotonicMs;
    readonly account: string;
    readonly count: number;
    /** Time from the ask for which the tokens may be used. */
    readonly lifeMs: number;
    /** If not all is granted, the time until the rest can be. */
    readonly waitMs: number;
    /** Whether more may be requested than is certainly needed. */
    readonly hasSpare: boolean;
  };

/** Longest account name, and most tokens in one message. */
const MAX_NAME_LENGTH = 4_096;
const MAX_COUNT = 1_000_000;

/** Most accounts of which a lease keeps something. */
export const MAX_KEPT = 256;

const lowerTier = v.picklist(["node", "domain"]);
const upperTier = v.picklist(["domain", "fleet"]);
const timeSchema = v.pipe(v.number(), v.finite());
const durationSchema = v.pipe(v.number(), v.minValue(0), v.finite());
const nameSchema = v.pipe(v.string(), v.maxLength(MAX_NAME_LENGTH));
const ratioSchema = v.pipe(v.number(), v.minValue(0), v.maxValue(1));
const countSchema = v.pipe(
  v.number(),
  v.integer(),
  v.minValue(0),
  v.maxValue(MAX_COUNT),
);

/** Validates a message from a peer. */
export const allowanceSchema: v.GenericSchema<unknown, AllowanceMessage> = v
  .variant("type", [
    v.strictObject({ type: v.literal("allowance/join"), tier: upperTier }),
    v.strictObject({
      type: v.literal("allowance/beat"),
      tier: lowerTier,
      stamp: timeSchema,
    }),
    v.strictObject({
      type: v.literal("allowance/lease"),
      tier: upperTier,
      echo: timeSchema,
      share: ratioSchema,
      termMs: durationSchema,
      kept: v.pipe(
        v.array(v.strictTuple([nameSchema, ratioSchema])),
        v.maxLength(MAX_KEPT),
      ),
    }),
    v.strictObject({
      type: v.literal("allowance/ask"),
      tier: upperTier,
      stamp: timeSchema,
      account: nameSchema,
      count: countSchema,
    }),
    v.strictObject({
      type: v.literal("allowance/grant"),
      tier: lowerTier,
      echo: timeSchema,
      account: nameSchema,
      count: countSchema,
      lifeMs: durationSchema,
      waitMs: durationSchema,
      hasSpare: v.boolean(),
    }),
  ]);
