/**
 * The log of one simulated rollout. Its records are applied to the
 * configuration by the production code.
 * @module
 */
import { createConfigState } from "../../src/config_log/create_config_state.ts";
import { foldRecord } from "../../src/config_log/fold_record.ts";
import type { ConfigRecord } from "../../src/config_log/messages.ts";
import type { ConfigState, Rollout } from "../../src/config_log/state.ts";
import { compileConfig } from "../../src/serving/compile_config.ts";
import type { ServedService } from "../../src/serving/state.ts";

/** Wall-clock time at which each simulation starts. */
export const START_WALL_MS = Date.parse("2026-12-04T08:00:00Z");

export const SERVICE = "portaal";
export const OLD_VERSION = "v1";
export const NEW_VERSION = "v2";

export interface SimulatedLog {
  readonly state: ConfigState;
  append(record: ConfigRecord, now: number): void;
  rollout(): Rollout;
  served(): ServedService;
}

/** Options of `createSimulatedLog`. */
export interface CreateSimulatedLogOptions {
  /** Time in which the rollout must end, in milliseconds, if any. */
  readonly totalMs?: number;
  readonly whenUnjudged?: "proceed" | "hold";
}

/** Creates a log with two edits: the old version, then the new one. */
export function createSimulatedLog(
  opts: CreateSimulatedLogOptions,
): SimulatedLog {
  const state = createConfigState();
  const key = `basic/${SERVICE}`;
  const directory = {
    homes: () => [],
    remotes: () => [],
    isPresent: () => true,
  };

  function append(record: ConfigRecord, now: number) {
    const at = new Date(START_WALL_MS + now).toISOString();
    const writer = `w${state.next}`;
    const body = JSON.stringify({ writer, seq: 1, at, record });
    foldRecord({ state, record: { offset: state.next, body } });
  }

  function edit(version: string, expected: number) {
    const takeOverBy = opts.totalMs === undefined
      ? {}
      : { takeOverBy: new Date(START_WALL_MS + opts.totalMs).toISOString() };
    const routes = ["accounts", "renewals", "uploads"].map((name) => ({
      name,
      path: `/${name}`,
      methods: ["GET"],
      repeatable: true,
      timeoutMs: 10_000,
    }));
    const whenUnjudged = opts.whenUnjudged ?? "proceed";
    const plan = "basic";
    const value = { plan, service: SERVICE, version, whenUnjudged, routes };
    append({
      kind: "edit",
      editor: "operator",
      changes: [{
        list: "uses",
        key,
        expected,
        value: version === NEW_VERSION ? { ...value, ...takeOverBy } : value,
      }],
    }, 0);
  }
  edit(OLD_VERSION, 0);
  edit(NEW_VERSION, 1);

  return {
    state,
    append,
    rollout: () => state.rollouts.get(`${SERVICE}@${NEW_VERSION}#2`) as Rollout,
    served: () =>
      compileConfig({ state, directory }).services.get(key) as ServedService,
  };
}
