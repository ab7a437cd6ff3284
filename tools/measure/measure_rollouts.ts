/**
 * Rolls good and bad versions out, and counts how they end.
 * @module
 */
import { isLive } from "../../src/config_log/rollout_rows.ts";
import type { Rollout } from "../../src/config_log/state.ts";
import { RolloutPhase } from "../../src/config_log/state.ts";
import type { UpstreamFaults } from "../fake_upstream.ts";
import type { Fleet } from "../fleet/start_fleet.ts";
import { waitFor } from "../wait_for.ts";
import type { BackgroundCalls } from "./background_calls.ts";
import { type AskedVersions, usesOf } from "./build_lists.ts";
import { publish, readRollouts } from "./operator.ts";
import type { Upstreams } from "./start_upstreams.ts";

/** A version to roll out. Good ones have no faults. */
export interface MeasuredVersion {
  readonly service: string;
  readonly version: string;
  readonly faults?: Partial<UpstreamFaults>;
}

export interface RolloutShares {
  good: number;
  goodDone: number;
  bad: number;
  badTakenBack: number;
}

/** Options of `measureRollouts`. */
export interface MeasureRolloutsOptions {
  readonly fleet: Fleet;
  readonly upstreams: Upstreams;
  readonly calls: BackgroundCalls;
  /** Rolled out at the same time, one for each service at most. */
  readonly versions: readonly MeasuredVersion[];
  /** Versions that serve now, by service. Changed when one is done. */
  readonly serving: Map<string, string>;
  /** Time asked for each move, in milliseconds. */
  readonly withinMs: number;
}

const graceMs = 20_000;

/** Publishes the versions and waits until each move has ended. */
export async function measureRollouts(
  opts: MeasureRolloutsOptions,
): Promise<RolloutShares> {
  const { fleet, upstreams, calls, versions, serving, withinMs } = opts;
  const node = fleet.nodes[0]?.admin ?? "";
  const takeOverBy = new Date(Date.now() + withinMs).toISOString();
  const asked = new Map<string, { version: string; takeOverBy?: string }>();
  for (const [service, version] of serving) asked.set(service, { version });
  for (const { service, version, faults } of versions) {
    await upstreams.start(service, version);
    if (faults !== undefined) {
      calls.badVersions.add(version);
      await upstreams.setFaults(service, version, faults);
    }
    asked.set(service, { version, takeOverBy });
  }
  const verdict = await publish(node, usesOf(fleet.deployment, asked));
  if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
  const ended = await waitForEnd(node, versions, withinMs + graceMs);
  const shares = countShares(versions, ended, takeOverBy);
  await clearUp(opts, ended, asked, node);
  return shares;
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
    what: "every rollout ended",
    limitMs,
    isTrue: async () => {
      rollouts = (await readRollouts(node)).filter(isMeasured);
      return rollouts.length === versions.length && !rollouts.some(isLive);
    },
  }).catch(() => {
    // A move that never ends counts as neither done nor taken back.
  });
  return rollouts;
}

function countShares(
  versions: readonly MeasuredVersion[],
  ended: readonly Rollout[],
  takeOverBy: string,
): RolloutShares {
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

/** Retires what no longer serves, as an operator would. */
async function clearUp(
  opts: MeasureRolloutsOptions,
  ended: readonly Rollout[],
  asked: Map<string, { version: string; takeOverBy?: string }>,
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
    asked.set(service, { version: before });
    retired.push([service, version]);
  }
  const lists: AskedVersions = asked;
  await publish(node, usesOf(fleet.deployment, lists));
  await Promise.all(
    retired.map(([service, version]) => upstreams.drain(service, version)),
  );
}
