/**
 * Keeps rollouts and use entries in step with each other.
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

/** Ended rollouts kept for explanations. */
export const MAX_ENDED_ROLLOUTS = 100;

/** Steps kept of one rollout. The first and the newest remain. */
export const MAX_RECORDED_STEPS = 64;

const livePhases: ReadonlySet<RolloutPhase> = new Set([
  RolloutPhase.Pending,
  RolloutPhase.Shifting,
  RolloutPhase.Baking,
  RolloutPhase.Blocked,
]);

/** True until the rollout is done, rolled back or superseded. */
export function isLive(rollout: Rollout): boolean {
  return livePhases.has(rollout.phase);
}

/** Name of the lease that fences a rollout's steps. */
export function leaseOf(rollout: string): string {
  return `rollout/${rollout}`;
}

/** Options of `joinRollout`. */
export interface JoinRolloutOptions {
  readonly state: ConfigState;
  /** Key of a use entry that may have to move. */
  readonly key: string;
  readonly offset: Offset;
  readonly at: string;
}

/** Puts an entry whose asked version does not serve yet into a rollout. */
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
  state.rollouts.set(rollout.id, recompute(state, { ...rollout, entries }));
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

/** Derives what follows from a rollout's entries. */
function recompute(state: ConfigState, rollout: Rollout): Rollout {
  const rows = rollout.entries.flatMap((key) => state.uses.get(key) ?? []);
  const times = rows.flatMap((row) => row.takeOverBy ?? []).sort();
  const holds = rows.some((row) => row.whenUnjudged === WhenUnjudged.Hold);
  const { takeOverBy: _, ...rest } = rollout;
  return {
    ...rest,
    from: [...new Set(rows.map((row) => row.stable))].sort(),
    whenUnjudged: holds ? WhenUnjudged.Hold : WhenUnjudged.Proceed,
    ...(times[0] === undefined ? {} : { takeOverBy: times[0] }),
  };
}

/** Takes an entry out of a rollout, and ends a rollout without entries. */
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
    state.rollouts.set(id, recompute(state, { ...rollout, entries }));
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

/** Records a step in a rollout's history. */
export function recordStep(rollout: Rollout, step: RecordedStep): Rollout {
  const steps = [...rollout.steps, step];
  // The first step tells when it began, the newest tell how it went.
  if (steps.length > MAX_RECORDED_STEPS) steps.splice(1, 1);
  return { ...rollout, phase: step.phase, perMille: step.perMille, steps };
}

/** Ends a rollout, drops its lease and forgets the oldest ended ones. */
export function endRollout(
  state: ConfigState,
  rollout: Rollout,
  step: RecordedStep,
) {
  // Re-inserting keeps ended rollouts ordered by their end.
  state.rollouts.delete(rollout.id);
  state.rollouts.set(rollout.id, recordStep(rollout, step));
  state.leases.delete(leaseOf(rollout.id));
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
