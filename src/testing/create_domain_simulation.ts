/**
 * Nodes of one failure domain that roll a version out over one fake log.
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

const tickMs = 250;

/** What happens to the domain during one tick. */
export interface DomainTick {
  /** Nodes that do not run now. */
  readonly down?: ReadonlySet<string>;
  /** Calls that each node makes of the new and the old version. */
  readonly calls?: number;
  readonly oldCalls?: number;
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
      const isMeant = effect.type === "send"
        ? effect.to === id
        : id !== state.self;
      if (!isMeant || opts.down?.has(id)) continue;
      run(other, { type: "received", from: state.self, message, now }, opts);
    }
  }

  function call(state: RolloutState, opts: DomainTick) {
    const about = { service: "portaal", route: "accounts", latencyMs: 3 };
    const { calls = 0, oldCalls = 0, isFailing = false } = opts;
    const isHeld = state.held.has("portaal@v2");
    const { perMille } = fixture.rollout();
    const isServed = perMille > 0 && !isHeld;
    const make = (count: number, version: string, outcome: CallOutcome) => {
      for (let left = count; left > 0; left--) {
        run(state, { type: "answered", ...about, version, outcome }, opts);
      }
    };
    const isAlone = perMille === 1_000 && !isHeld;
    make(isAlone ? 0 : oldCalls, "v1", CallOutcome.Served);
    make(
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
      now += tickMs;
      const live = [...nodes].filter(([id]) => !opts.down?.has(id));
      // Readers that left the membership are replaced by the next ones.
      const readers = live.slice(0, 2).map(([id]) => ({ id, boot: "b1" }));
      for (const [, state] of live) {
        call(state, opts);
        run(state, fixture.tick(state, now, { readers }), opts);
      }
    },
  };
}
