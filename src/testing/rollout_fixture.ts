/**
 * A configuration state with one rollout, for tests of rollouts.
 * @module
 */
import { createConfigState } from "../config_log/create_config_state.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import type { ConfigRecord } from "../config_log/messages.ts";
import type { ConfigState, Rollout, Verdict } from "../config_log/state.ts";
import type { RolloutState, TickedEvent } from "../rollout/state.ts";

/** Wall clock at the start of each test. */
export const START_WALL_MS = Date.parse("2026-12-04T08:00:00Z");

/** Rollout of service `portaal` from `v1` to `v2`, in a separate log. */
export interface RolloutFixture {
  readonly config: ConfigState;
  readonly id: string;
  rollout(): Rollout;
  append(record: ConfigRecord): Verdict;
  edit(version: string, fields?: object): Verdict;
  /** Builds a tick of a node that is the only reader of its failure domain. */
  tick(state: RolloutState, now: number, fields?: object): TickedEvent;
}

/** Creates the log with the edit that starts the rollout. */
export function createRolloutFixture(fields: object = {}): RolloutFixture {
  const config = createConfigState();
  function append(record: ConfigRecord): Verdict {
    const at = new Date(START_WALL_MS).toISOString();
    const writer = `w${config.next}`;
    const body = JSON.stringify({ writer, seq: 1, at, record });
    return foldRecord({ state: config, record: { offset: config.next, body } });
  }
  const edit = (version: string, more: object = {}) =>
    append({
      kind: "edit",
      editor: "ann",
      changes: [{
        list: "uses",
        key: "basic/portaal",
        expected: config.uses.get("basic/portaal")?.revision ?? 0,
        value: {
          plan: "basic",
          service: "portaal",
          version,
          whenUnjudged: "proceed",
          routes: [{
            name: "accounts",
            path: "/accounts",
            methods: ["GET"],
            repeatable: true,
            timeoutMs: 1_000,
          }],
          ...more,
        },
      }],
    });
  edit("v1");
  edit("v2", fields);
  const id = "portaal@v2#2";
  return {
    config,
    id,
    rollout: () => config.rollouts.get(id) as Rollout,
    append,
    edit,
    tick: (state, now, more = {}) => ({
      type: "ticked",
      now,
      wall: START_WALL_MS + now,
      config,
      readers: [{ id: state.self, boot: state.boot }],
      present: new Set(["portaal@v2"]),
      random: 0,
      ...more,
    }),
  };
}
