/**
 * Simulates the nodes of one failure domain that roll out a version over a fake
 * log.
 * @module
 */
import { decideRollout } from "../rollout/decide_rollout.ts";
import {
  CallOutcome,
  createRolloutState,
  type RolloutEffect,
  type RolloutEvent,
  type RolloutState,
} from "../rollout/state.ts";
import { createRolloutFixture } from "./rollout_fixture.ts";
import type { RolloutFixture } from "./rollout_fixture.ts";

const TICK_MS = 250;

/** What happens to the domain during one tick. */
export interface DomainTick {
  /** Nodes that do not run during the tick. */
  readonly down?: ReadonlySet<string>;
  /** Calls that each node makes to the new version. */
  readonly calls?: number;
  /** Calls that each node makes to the old version. */
  readonly oldCalls?: number;
  /** Whether calls to the new version fail. */
  readonly isFailing?: boolean;
}

export interface DomainSimulation {
  readonly fixture: RolloutFixture;
  readonly nodes: ReadonlyMap<string, RolloutState>;
  /** Time in milliseconds. */
  now(): number;
  /** Ticks each node that runs, and delivers what it sends. */
  tick(opts?: DomainTick): void;
}

/** Creates the domain. The first two nodes are its readers. */
export function createDomainSimulation(
  ids: readonly string[],
  fields: object = {},
): DomainSimulation {
  const fixture = createRolloutFixture(fields);
  const nodes = new Map(
    ids.map((id) => [
      id,
      createRolloutState({ self: id, domain: "d1", boot: "b1" }),
    ]),
  );
  let now = 0;

  function run(state: RolloutState, event: RolloutEvent, opts: DomainTick) {
    for (const effect of decideRollout(state, event)) {
      perform(state, effect, opts);
    }
  }

  function perform(
    state: RolloutState,
    effect: RolloutEffect,
    opts: DomainTick,
  ) {
    if (effect.type === "append") {
      fixture.append(effect.record);
      run(state, { type: "settled", rollout: effect.rollout }, opts);
      return;
    }
    if (effect.type === "hold-changed") return;
    const { message } = effect;
    for (const [id, other] of nodes) {
      const isReceiver = effect.type === "send"
        ? effect.to === id
        : id !== state.self;
      if (!isReceiver || opts.down?.has(id)) continue;
      run(other, { type: "received", from: state.self, message, now }, opts);
    }
  }

  function call(state: RolloutState, opts: DomainTick) {
    const about = { service: "portaal", route: "accounts", latencyMs: 3 };
    const { calls = 0, oldCalls = 0, isFailing = false } = opts;
    const isHeld = state.held.has("portaal@v2");
    const { perMille } = fixture.rollout();
    const isServed = perMille > 0 && !isHeld;
    const sendCalls = (
      count: number,
      version: string,
      outcome: CallOutcome,
    ) => {
      for (let left = count; left > 0; left--) {
        run(state, { type: "answered", ...about, version, outcome }, opts);
      }
    };
    const isAlone = perMille === 1_000 && !isHeld;
    sendCalls(isAlone ? 0 : oldCalls, "v1", CallOutcome.Served);
    sendCalls(
      isServed ? calls : 0,
      "v2",
      isFailing ? CallOutcome.Failed : CallOutcome.Served,
    );
  }

  return {
    fixture,
    nodes,
    now: () => now,
    tick(opts = {}) {
      now += TICK_MS;
      const live = [...nodes].filter(([id]) => !opts.down?.has(id));
      // The first two live nodes read the log, so a stopped reader is replaced.
      const readers = live.slice(0, 2).map(([id]) => ({ id, boot: "b1" }));
      for (const [, state] of live) {
        call(state, opts);
        run(state, fixture.tick(state, now, { readers }), opts);
      }
    },
  };
}
