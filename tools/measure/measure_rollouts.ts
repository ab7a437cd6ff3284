/**
 * Rolls out good and faulty versions, and counts how the rollouts end.
 * @module
 */
import { isLive } from "../../src/config_log/rollout_rows.ts";
import type { Rollout } from "../../src/config_log/state.ts";
import { RolloutPhase } from "../../src/config_log/state.ts";
import type { UpstreamFaults } from "../fake_upstream.ts";
import type { Fleet } from "../fleet/start_fleet.ts";
import { waitFor } from "../wait_for.ts";
import type { BackgroundCalls } from "./background_calls.ts";
import { buildUses, type RequestedVersions } from "./build_lists.ts";
import { publish, readRollouts } from "./operator.ts";
import type { Upstreams } from "./start_upstreams.ts";

/** A version to roll out. Good versions have no faults. */
export interface MeasuredVersion {
  readonly service: string;
  readonly version: string;
  readonly faults?: Partial<UpstreamFaults>;
}

/** Numbers of rollouts by outcome. */
export interface RolloutCounts {
  good: number;
  /** Good versions whose rollouts completed in the time asked for. */
  goodDone: number;
  bad: number;
  /** Faulty versions that were rolled back. */
  badTakenBack: number;
}

/** Options of `measureRollouts`. */
export interface MeasureRolloutsOptions {
  readonly fleet: Fleet;
  readonly upstreams: Upstreams;
  readonly calls: BackgroundCalls;
  /** Rolled out at the same time, at most one for each service. */
  readonly versions: readonly MeasuredVersion[];
  /** Current version by service, updated when a rollout completes. */
  readonly serving: Map<string, string>;
  /** Time in which each rollout must complete, in milliseconds. */
  readonly withinMs: number;
}

/** Time beyond `withinMs` to wait for the rollouts to end. */
const ROLLOUT_GRACE_MS = 20_000;

/** Publishes the versions and waits until each rollout has ended. */
export async function measureRollouts(
  opts: MeasureRolloutsOptions,
): Promise<RolloutCounts> {
  const { fleet, upstreams, calls, versions, serving, withinMs } = opts;
  const node = fleet.nodes[0]?.admin ?? "";
  const takeOverBy = new Date(Date.now() + withinMs).toISOString();
  const requested = new Map<string, { version: string; takeOverBy?: string }>();
  for (const [service, version] of serving) requested.set(service, { version });
  for (const { service, version, faults } of versions) {
    await upstreams.start(service, version);
    if (faults !== undefined) {
      calls.badVersions.add(version);
      await upstreams.setFaults(service, version, faults);
    }
    requested.set(service, { version, takeOverBy });
  }
  const verdict = await publish(node, buildUses(fleet.deployment, requested));
  if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
  const ended = await waitForEnd(node, versions, withinMs + ROLLOUT_GRACE_MS);
  const counts = countOutcomes(versions, ended, takeOverBy);
  await retireVersions(opts, ended, requested, node);
  return counts;
}

async function waitForEnd(
  node: string,
  versions: readonly MeasuredVersion[],
  limitMs: number,
): Promise<readonly Rollout[]> {
  let rollouts: readonly Rollout[] = [];
  const isMeasured = (rollout: Rollout) =>
    versions.some((one) =>
      one.service === rollout.service && one.version === rollout.version
    );
  await waitFor({
    what: "every rollout has ended",
    limitMs,
    isTrue: async () => {
      rollouts = (await readRollouts(node)).filter(isMeasured);
      return rollouts.length === versions.length && !rollouts.some(isLive);
    },
  }).catch(() => {
    // A rollout that never ends counts neither as done nor as rolled back.
  });
  return rollouts;
}

function countOutcomes(
  versions: readonly MeasuredVersion[],
  ended: readonly Rollout[],
  takeOverBy: string,
): RolloutCounts {
  const shares = { good: 0, goodDone: 0, bad: 0, badTakenBack: 0 };
  for (const { service, version, faults } of versions) {
    const rollout = ended.find((one) =>
      one.service === service && one.version === version
    );
    if (faults !== undefined) {
      shares.bad++;
      if (rollout?.phase === RolloutPhase.RolledBack) shares.badTakenBack++;
      continue;
    }
    shares.good++;
    const doneAt = rollout?.steps.at(-1)?.at ?? "";
    const isDone = rollout?.phase === RolloutPhase.Done;
    if (isDone && doneAt <= takeOverBy) shares.goodDone++;
  }
  return shares;
}

/** Removes rolled-back versions from the lists and drains unused upstreams. */
async function retireVersions(
  opts: MeasureRolloutsOptions,
  ended: readonly Rollout[],
  requested: Map<string, { version: string; takeOverBy?: string }>,
  node: string,
) {
  const { fleet, upstreams, serving } = opts;
  const retired: [string, string][] = [];
  for (const { service, version, phase } of ended) {
    const before = serving.get(service) ?? "";
    if (phase === RolloutPhase.Done) {
      serving.set(service, version);
      retired.push([service, before]);
      continue;
    }
    requested.set(service, { version: before });
    retired.push([service, version]);
  }
  const lists: RequestedVersions = requested;
  await publish(node, buildUses(fleet.deployment, lists));
  await Promise.all(
    retired.map(([service, version]) => upstreams.drain(service, version)),
  );
}
