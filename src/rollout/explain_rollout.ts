/**
 * Explains a rollout to operators, as text lines and as JSON.
 * @module
 */
import { isLive } from "../config_log/rollout_rows.ts";
import { type Rollout, RolloutPhase } from "../config_log/state.ts";
import type { WallMs } from "../core/types.ts";
import {
  formatPercent,
  formatSeconds,
  formatTimeLeft,
  planTimes,
  SHARE_STEPS,
} from "./plan_step.ts";

/** Status of a rollout, for JSON output. */
export interface RolloutStatus {
  readonly id: string;
  readonly service: string;
  readonly version: string;
  readonly from: readonly string[];
  readonly phase: RolloutPhase;
  readonly perMille: number;
  /** ISO 8601. */
  readonly takeOverBy?: string;
  /** Time until `takeOverBy`, negative when it has passed. */
  readonly leftMs?: number;
  /** ISO 8601, set while the finish can be estimated. */
  readonly expectedFinish?: string;
  /** Reason of the newest step. */
  readonly reason: string;
  readonly steps: Rollout["steps"];
}

/** Computes the status of a rollout at a wall-clock time. */
export function statusOfRollout(rollout: Rollout, wall: WallMs): RolloutStatus {
  const { id, service, version, from, phase, perMille, steps } = rollout;
  const { takeOverBy } = rollout;
  const finishAt = estimateFinish(rollout, wall);
  return {
    id,
    service,
    version,
    from,
    phase,
    perMille,
    ...(takeOverBy === undefined ? {} : {
      takeOverBy,
      leftMs: Date.parse(takeOverBy) - wall,
    }),
    ...(finishAt === undefined ? {} : {
      expectedFinish: new Date(finishAt).toISOString(),
    }),
    reason: steps.at(-1)?.reason ?? "No step was taken yet.",
    steps,
  };
}

/** Extrapolates the pace of the steps so far, within the plan's bounds. */
function estimateFinish(rollout: Rollout, wall: WallMs): WallMs | undefined {
  if (!isLive(rollout) || rollout.phase === RolloutPhase.Blocked) {
    return undefined;
  }
  const { stageMs, slotMs, bakeMs } = planTimes(rollout, wall);
  const [first] = rollout.steps;
  const stepCount = rollout.steps.length;
  const lastAt = Date.parse(rollout.steps.at(-1)?.at ?? rollout.begunAt);
  if (rollout.phase === RolloutPhase.Baking) {
    return Math.max(wall, lastAt + bakeMs);
  }
  const elapsedMs = first === undefined ? 0 : lastAt - Date.parse(first.at);
  const paceMs = stepCount > 1 ? elapsedMs / (stepCount - 1) : slotMs;
  const stage = Math.min(slotMs, Math.max(stageMs, paceMs));
  const stepsLeft =
    SHARE_STEPS.filter((one) => one.perMille > rollout.perMille).length;
  return Math.max(wall, lastAt + stage) + Math.max(0, stepsLeft - 1) * stage +
    bakeMs;
}

/** Explains in lines of text what happened and why, and the expected finish. */
export function explainRollout(rollout: Rollout, wall: WallMs): string[] {
  const status = statusOfRollout(rollout, wall);
  const { id, phase, perMille, from } = status;
  const lines = [
    `${id}: ${phase}, ${formatPercent(perMille)} of calls, from ` +
    `${from.join(", ") || "no other version"}.`,
  ];
  if (isLive(rollout)) {
    lines.push(`  Time: ${formatTimeLeft(rollout, wall)}.`);
    if (status.expectedFinish !== undefined) {
      const inMs = Date.parse(status.expectedFinish) - wall;
      lines.push(
        `  Expected finish: ${status.expectedFinish}, in ${
          formatSeconds(inMs)
        }.`,
      );
    }
  }
  for (const step of rollout.steps) {
    lines.push(
      `  ${step.at} offset ${step.offset}: ${step.phase}, ` +
        `${formatPercent(step.perMille)}. ${step.reason}`,
    );
  }
  return lines;
}
