/**
 * Schemas of the node's answers, limited to the fields that the commands use.
 * @module
 */
import * as v from "valibot";
import { RolloutPhase } from "../config_log/state.ts";
import { WhenUnjudged } from "../lists/types.ts";
import { customerSchema, useSchema } from "../lists/schemas.ts";

const revisionSchema = v.number();

export const listsAnswer = v.object({
  customers: v.array(
    v.object({ revision: revisionSchema, entry: customerSchema }),
  ),
  uses: v.array(v.object({ revision: revisionSchema, entry: useSchema })),
});

export const statusAnswer = v.object({
  node: v.string(),
  version: v.number(),
  applied: v.number(),
  inactive: v.array(v.string()),
  domains: v.array(v.object({
    domain: v.string(),
    nodes: v.number(),
    applied: v.number(),
    silentMs: v.number(),
  })),
  laggards: v.array(v.object({ node: v.string(), applied: v.number() })),
});
export type StatusAnswer = v.InferOutput<typeof statusAnswer>;

const phaseSchema = v.picklist(Object.values(RolloutPhase));

const stepSchema = v.object({
  offset: v.number(),
  at: v.string(),
  phase: phaseSchema,
  perMille: v.number(),
  reason: v.string(),
});

const rolloutSchema = v.object({
  id: v.string(),
  service: v.string(),
  version: v.string(),
  entries: v.array(v.string()),
  from: v.array(v.string()),
  takeOverBy: v.exactOptional(v.string()),
  whenUnjudged: v.picklist(Object.values(WhenUnjudged)),
  phase: phaseSchema,
  perMille: v.number(),
  begunAt: v.string(),
  steps: v.array(stepSchema),
});
export type RolloutAnswer = v.InferOutput<typeof rolloutSchema>;

export const rolloutsAnswer = v.object({ rollouts: v.array(rolloutSchema) });

const evidencePointSchema = v.object({
  at: v.number(),
  perMille: v.number(),
  calls: v.number(),
  failures: v.number(),
  oldCalls: v.number(),
  oldFailures: v.number(),
  slowShare: v.number(),
  oldSlowShare: v.number(),
});

export const historyAnswer = v.object({
  /** Node that holds the rollout's lease, absent when no node holds it. */
  holder: v.exactOptional(v.string()),
  points: v.array(evidencePointSchema),
});

const auditEntrySchema = v.object({
  offset: v.number(),
  at: v.string(),
  who: v.string(),
  what: v.string(),
  verdict: v.picklist(["accepted", "refused"]),
  code: v.exactOptional(v.string()),
  reason: v.exactOptional(v.string()),
});
export type AuditAnswerEntry = v.InferOutput<typeof auditEntrySchema>;

export const auditAnswer = v.object({ entries: v.array(auditEntrySchema) });

export const outcomeAnswer = v.variant("type", [
  v.object({ type: v.literal("accepted"), offset: v.number() }),
  v.object({ type: v.literal("repeated"), offset: v.number() }),
  v.object({
    type: v.literal("refused"),
    offset: v.number(),
    code: v.string(),
    reason: v.string(),
  }),
  v.object({
    type: v.literal("unsettled"),
    code: v.string(),
    mayTakeEffect: v.boolean(),
  }),
]);
export type OutcomeAnswer = v.InferOutput<typeof outcomeAnswer>;

/** HTTP statuses of answers whose body is an `outcomeAnswer`. */
export const OUTCOME_STATUSES = [200, 409, 503, 504] as const;
