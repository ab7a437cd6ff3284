/**
 * The log of one simulated rollout, folded by the real decisions.
 * @module
 */
import { createConfigState } from "../../src/config_log/create_config_state.ts";
import { foldRecord } from "../../src/config_log/fold_record.ts";
import type { ConfigRecord } from "../../src/config_log/messages.ts";
import type { ConfigState, Rollout } from "../../src/config_log/state.ts";
import { compileConfig } from "../../src/serving/compile_config.ts";
import type { ServedService } from "../../src/serving/state.ts";

/** Wall clock at the start of each simulation. */
export const startWall = Date.parse("2026-12-04T08:00:00Z");

export const service = "portaal";
export const oldVersion = "v1";
export const newVersion = "v2";

export interface SimulatedLog {
  readonly state: ConfigState;
  append(record: ConfigRecord, now: number): void;
  rollout(): Rollout;
  served(): ServedService;
}

/** Options of `createSimulatedLog`. */
export interface CreateSimulatedLogOptions {
  /** Time given to the rollout in milliseconds, if any. */
  readonly totalMs?: number;
  readonly whenUnjudged?: "proceed" | "hold";
}

/** Creates a log in which an operator has asked for the new version. */
export function createSimulatedLog(
  opts: CreateSimulatedLogOptions,
): SimulatedLog {
  const state = createConfigState();
  const key = `basic/${service}`;
  const directory = {
    homes: () => [],
    remotes: () => [],
    isPresent: () => true,
  };

  function append(record: ConfigRecord, now: number) {
    const at = new Date(startWall + now).toISOString();
    const writer = `w${state.next}`;
    const body = JSON.stringify({ writer, seq: 1, at, record });
    foldRecord({ state, record: { offset: state.next, body } });
  }

  function edit(version: string, expected: number) {
    const takeOverBy = opts.totalMs === undefined
      ? {}
      : { takeOverBy: new Date(startWall + opts.totalMs).toISOString() };
    const routes = ["accounts", "renewals", "uploads"].map((name) => ({
      name,
      path: `/${name}`,
      methods: ["GET"],
      repeatable: true,
      timeoutMs: 10_000,
    }));
    const whenUnjudged = opts.whenUnjudged ?? "proceed";
    const plan = "basic";
    const value = { plan, service, version, whenUnjudged, routes };
    append({
      kind: "edit",
      editor: "operator",
      changes: [{
        list: "uses",
        key,
        expected,
        value: version === newVersion ? { ...value, ...takeOverBy } : value,
      }],
    }, 0);
  }
  edit(oldVersion, 0);
  edit(newVersion, 1);

  return {
    state,
    append,
    rollout: () => state.rollouts.get(`${service}@${newVersion}#2`) as Rollout,
    served: () =>
      compileConfig({ state, directory }).services.get(key) as ServedService,
  };
}
