/**
 * Drives rollouts: evidence, leases and steps.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { NodeId } from "../core/types.ts";
import { decideRollout } from "../rollout/decide_rollout.ts";
import type { RolloutMessage } from "../rollout/messages.ts";
import { createRolloutState, type RolloutEvent } from "../rollout/state.ts";
import type { ControlContext } from "./control_context.ts";
import type { ConfigDriver } from "./drive_config.ts";
import type { MeshDriver } from "./drive_mesh.ts";

/** Options of `driveRollout`. */
export interface DriveRolloutOptions {
  readonly context: ControlContext;
  readonly config: ConfigDriver;
  readonly mesh: MeshDriver;
}

export interface RolloutDriver {
  /** Versions that get no calls from this node, `service@version`. */
  readonly held: ReadonlySet<string>;
  receive(from: NodeId, message: RolloutMessage): void;
  noteAnswer(answer: Extract<RolloutEvent, { type: "answered" }>): void;
  tick(): void;
}

/** Creates the driver. */
export function driveRollout(opts: DriveRolloutOptions): RolloutDriver {
  const { context, config, mesh } = opts;
  const state = createRolloutState(context.self.id);

  function run(event: RolloutEvent) {
    for (const effect of decideRollout(state, event)) {
      switch (effect.type) {
        case "send":
          context.send(effect.to, effect.message);
          break;
        case "append":
          config.submit(effect.record);
          break;
        case "hold-changed":
          break;
        default:
          exhausted(effect);
      }
    }
  }

  return {
    held: state.held,
    receive: (from, message) => run({ type: "received", from, message }),
    noteAnswer: run,
    tick: () =>
      run({
        type: "ticked",
        now: context.now(),
        wall: Date.now(),
        config: config.state(),
        isReader: mesh.isReader(),
        alive: new Set(mesh.aliveNodes()),
      }),
  };
}
