/**
 * Folds leases, rollout steps and reinstatements.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Offset } from "../core/types.ts";
import {
  type LeaseRecord,
  type ReinstateRecord,
  type RolloutStep,
  type RolloutStepRecord,
  StepType,
} from "./messages.ts";
import { accepted, type Outcome, refused } from "./outcome.ts";
import {
  endRollout,
  isLive,
  joinRollout,
  leaseNameOf,
  recordStep,
} from "./rollout_rows.ts";
import {
  type ConfigState,
  RefusalCode,
  type Rollout,
  RolloutPhase,
} from "./state.ts";

/** Share of calls of a version that serves alone, in thousandths. */
export const FULL_SHARE_PER_MILLE = 1000;

/**
 * Limit on the first share of calls that a rollout gives the new version, in
 * thousandths.
 */
export const FIRST_SHARE_PER_MILLE = 20;

/** Options of `foldLease`. */
export interface FoldLeaseOptions {
  readonly state: ConfigState;
  readonly record: LeaseRecord;
  readonly offset: Offset;
}

/**
 * Grants the lease of a live rollout to the first claim with the next term.
 * Later claims with the same term are refused.
 */
export function foldLease(opts: FoldLeaseOptions): Outcome {
  const { state, record, offset } = opts;
  const isKnown = [...state.rollouts.values()].some((rollout) =>
    isLive(rollout) && leaseNameOf(rollout.id) === record.name
  );
  if (!isKnown) {
    return refused(
      RefusalCode.UnknownRollout,
      `lease ${record.name} belongs to no live rollout`,
    );
  }
  const term = state.leases.get(record.name)?.term ?? 0;
  if (record.term !== term + 1) {
    return refused(
      RefusalCode.StaleTerm,
      `lease ${record.name}: claimed term ${record.term}, current is ${term}`,
    );
  }
  state.leases.set(record.name, {
    holder: record.holder,
    term: record.term,
    since: offset,
  });
  return accepted(false);
}

/** Options of `foldStep`. */
export interface FoldStepOptions {
  readonly state: ConfigState;
  readonly record: RolloutStepRecord;
  readonly offset: Offset;
  readonly at: string;
}

/** Applies a step with the lease's current term. Refuses any other term. */
export function foldStep(opts: FoldStepOptions): Outcome {
  const { state, record } = opts;
  const rollout = state.rollouts.get(record.rollout);
  if (rollout === undefined) {
    return refused(
      RefusalCode.UnknownRollout,
      `no rollout ${record.rollout} is on record`,
    );
  }
  if (!isLive(rollout)) {
    return refused(
      RefusalCode.RolloutEnded,
      `rollout ${rollout.id} has ended as ${rollout.phase}`,
    );
  }
  const term = state.leases.get(leaseNameOf(rollout.id))?.term ?? 0;
  if (record.term !== term) {
    return refused(
      RefusalCode.StaleTerm,
      `step of ${rollout.id} carries term ${record.term}, current is ${term}`,
    );
  }
  return applyStep(opts, rollout, record.step);
}

function applyStep(
  opts: FoldStepOptions,
  rollout: Rollout,
  step: RolloutStep,
): Outcome {
  const { state, offset, at } = opts;
  const { reason } = step;
  switch (step.type) {
    case StepType.Share: {
      const { perMille } = step;
      if (rollout.perMille === 0 && perMille > FIRST_SHARE_PER_MILLE) {
        return refused(
          RefusalCode.StepOutOfOrder,
          `first share of ${rollout.id} is ${perMille}, above ${FIRST_SHARE_PER_MILLE}`,
        );
      }
      const phase = RolloutPhase.Shifting;
      const recorded = { offset, at, phase, perMille, reason };
      state.rollouts.set(rollout.id, recordStep(rollout, recorded));
      return accepted(true);
    }
    case StepType.Bake: {
      if (rollout.perMille !== FULL_SHARE_PER_MILLE) {
        return refused(
          RefusalCode.StepOutOfOrder,
          `rollout ${rollout.id} has ${rollout.perMille} of ${FULL_SHARE_PER_MILLE}`,
        );
      }
      const phase = RolloutPhase.Baking;
      const recorded = {
        offset,
        at,
        phase,
        perMille: FULL_SHARE_PER_MILLE,
        reason,
      };
      state.rollouts.set(rollout.id, recordStep(rollout, recorded));
      return accepted(true);
    }
    case StepType.Block: {
      const { perMille } = rollout;
      const phase = RolloutPhase.Blocked;
      const recorded = { offset, at, phase, perMille, reason };
      state.rollouts.set(rollout.id, recordStep(rollout, recorded));
      return accepted(true);
    }
    case StepType.Done:
      return finishRollout(opts, rollout, reason);
    case StepType.Rollback: {
      const phase = RolloutPhase.RolledBack;
      const recorded = { offset, at, phase, perMille: 0, reason };
      endRollout(state, rollout, recorded);
      const { service, version } = rollout;
      const row = { service, version, since: offset, reason };
      state.withdrawn.set(keyOfVersion(service, version), row);
      return accepted(true);
    }
    default:
      return exhausted(step);
  }
}

function finishRollout(
  opts: FoldStepOptions,
  rollout: Rollout,
  reason: string,
): Outcome {
  const { state, offset, at } = opts;
  if (rollout.phase !== RolloutPhase.Baking) {
    return refused(
      RefusalCode.StepOutOfOrder,
      `rollout ${rollout.id} is ${rollout.phase}, not baking`,
    );
  }
  for (const key of rollout.entries) {
    const row = state.uses.get(key);
    if (row !== undefined) {
      state.uses.set(key, { ...row, stable: rollout.version });
    }
  }
  const phase = RolloutPhase.Done;
  const recorded = {
    offset,
    at,
    phase,
    perMille: FULL_SHARE_PER_MILLE,
    reason,
  };
  endRollout(state, rollout, recorded);
  return accepted(true);
}

/** Options of `foldReinstate`. */
export interface FoldReinstateOptions {
  readonly state: ConfigState;
  readonly record: ReinstateRecord;
  readonly offset: Offset;
  readonly at: string;
}

/** Allows a withdrawn version again. Entries that request it join a rollout. */
export function foldReinstate(opts: FoldReinstateOptions): Outcome {
  const { state, record, offset, at } = opts;
  const name = keyOfVersion(record.service, record.version);
  if (!state.withdrawn.delete(name)) {
    return refused(RefusalCode.NotWithdrawn, `${name} was not taken back`);
  }
  const keys = [...state.uses.keys()].sort();
  for (const key of keys) {
    const row = state.uses.get(key);
    const isRequested = row?.service === record.service &&
      row.asked === record.version;
    if (isRequested) joinRollout({ state, key, offset, at });
  }
  return accepted(true);
}
