/**
 * Updates rollouts and the use entries that refer to them together.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Offset } from "../core/types.ts";
import { WhenUnjudged } from "../lists/types.ts";
import {
  type ConfigState,
  type RecordedStep,
  type Rollout,
  RolloutPhase,
  type UseRow,
} from "./state.ts";

/** Limit on the ended rollouts kept, to explain them to operators. */
export const MAX_ENDED_ROLLOUTS = 100;

/** Limit on the steps kept of one rollout: the first and the newest ones. */
export const MAX_RECORDED_STEPS = 64;

const LIVE_PHASES: ReadonlySet<RolloutPhase> = new Set([
  RolloutPhase.Pending,
  RolloutPhase.Shifting,
  RolloutPhase.Baking,
  RolloutPhase.Blocked,
]);

/** Returns true until the rollout is done, rolled back or superseded. */
export function isLive(rollout: Rollout): boolean {
  return LIVE_PHASES.has(rollout.phase);
}

/** Returns the name of the lease that fences a rollout's steps. */
export function leaseNameOf(rollout: string): string {
  return `rollout/${rollout}`;
}

/** Options of `joinRollout`. */
export interface JoinRolloutOptions {
  readonly state: ConfigState;
  /** Key of a use entry that may need a rollout. */
  readonly key: string;
  readonly offset: Offset;
  readonly at: string;
}

/**
 * Adds a use entry to the live rollout of its requested version, or to a new
 * rollout.
 * Does nothing if that version serves the entry already or is withdrawn.
 */
export function joinRollout(opts: JoinRolloutOptions) {
  const { state, key } = opts;
  const row = state.uses.get(key);
  if (row === undefined || row.asked === row.stable) return;
  const isWithdrawn = state.withdrawn.has(keyOfVersion(row.service, row.asked));
  if (isWithdrawn) return;
  const live = [...state.rollouts.values()].find((rollout) =>
    isLive(rollout) && rollout.service === row.service &&
    rollout.version === row.asked
  );
  const rollout = live ?? createRollout(opts, row);
  state.uses.set(key, { ...row, rollout: rollout.id });
  const entries = [...new Set([...rollout.entries, key])].sort();
  state.rollouts.set(
    rollout.id,
    updateDerivedFields(state, { ...rollout, entries }),
  );
}

function createRollout(opts: JoinRolloutOptions, row: UseRow): Rollout {
  return {
    id: `${row.service}@${row.asked}#${opts.offset}`,
    service: row.service,
    version: row.asked,
    entries: [],
    from: [],
    whenUnjudged: row.whenUnjudged,
    phase: RolloutPhase.Pending,
    perMille: 0,
    begunAt: opts.at,
    steps: [],
  };
}

/** Computes the fields of a rollout that are derived from its use entries. */
function updateDerivedFields(state: ConfigState, rollout: Rollout): Rollout {
  const rows = rollout.entries.flatMap((key) => state.uses.get(key) ?? []);
  const times = rows.flatMap((row) => row.takeOverBy ?? []).sort();
  const isHoldRequested = rows.some((row) =>
    row.whenUnjudged === WhenUnjudged.Hold
  );
  const { takeOverBy: _, ...rest } = rollout;
  return {
    ...rest,
    from: [...new Set(rows.map((row) => row.stable))].sort(),
    whenUnjudged: isHoldRequested ? WhenUnjudged.Hold : WhenUnjudged.Proceed,
    ...(times[0] === undefined ? {} : { takeOverBy: times[0] }),
  };
}

/** Removes an entry from a rollout. Ends the rollout if no entry is left. */
export function leaveRollout(
  state: ConfigState,
  id: string,
  key: string,
  offset: Offset,
  at: string,
) {
  const rollout = state.rollouts.get(id);
  if (rollout === undefined) return;
  const entries = rollout.entries.filter((entry) => entry !== key);
  if (entries.length > 0) {
    state.rollouts.set(id, updateDerivedFields(state, { ...rollout, entries }));
    return;
  }
  endRollout(state, rollout, {
    offset,
    at,
    phase: RolloutPhase.Superseded,
    perMille: 0,
    reason: "An edit moved its last entry elsewhere.",
  });
}

/** Returns the rollout with a step added to its history. */
export function recordStep(rollout: Rollout, step: RecordedStep): Rollout {
  const steps = [...rollout.steps, step];
  // Drops the second step: the first states when the rollout began, the newest
  // how it went.
  if (steps.length > MAX_RECORDED_STEPS) steps.splice(1, 1);
  return { ...rollout, phase: step.phase, perMille: step.perMille, steps };
}

/** Ends a rollout, drops its lease and evicts the oldest ended rollouts. */
export function endRollout(
  state: ConfigState,
  rollout: Rollout,
  step: RecordedStep,
) {
  // Deleting and inserting again keeps ended rollouts ordered by their end.
  state.rollouts.delete(rollout.id);
  state.rollouts.set(rollout.id, recordStep(rollout, step));
  state.leases.delete(leaseNameOf(rollout.id));
  for (const key of rollout.entries) {
    const row = state.uses.get(key);
    if (row?.rollout !== rollout.id) continue;
    const { rollout: _, ...rest } = row;
    state.uses.set(key, rest);
  }
  const ended = [...state.rollouts.values()].filter((one) => !isLive(one));
  for (const one of ended.slice(0, -MAX_ENDED_ROLLOUTS)) {
    state.rollouts.delete(one.id);
  }
}
