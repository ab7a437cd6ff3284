/**
 * Drives rollouts: evidence, holds, leases and steps.
 * @module
 */
import createDebug from "debug";
import { isLive } from "../config_log/rollout_rows.ts";
import { Priority } from "../control/create_control_loop.ts";
import { exhausted } from "../core/exhausted.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { NodeId } from "../core/types.ts";
import { pickReaders } from "../distribution/pick_readers.ts";
import { aliveIds } from "../membership/alive_ids.ts";
import { decideRollout } from "../rollout/decide_rollout.ts";
import type { RolloutMessage } from "../rollout/messages.ts";
import {
  type CallEvent,
  createRolloutState,
  type EvidencePoint,
  type Reader,
  type RolloutEvent,
} from "../rollout/state.ts";
import { TraceSlice } from "../trace/messages.ts";
import type { ControlContext } from "./control_context.ts";
import type { ConfigDriver } from "./drive_config.ts";
import type { MeshDriver } from "./drive_mesh.ts";

const logger = createDebug("lagoon:rollout");

/** Delays of extra ticks after a control loop tick while a rollout is live. */
const EXTRA_TICKS_MS = [250, 500, 750] as const;

/** Options of `driveRollout`. */
export interface DriveRolloutOptions {
  readonly context: ControlContext;
  readonly config: ConfigDriver;
  readonly mesh: MeshDriver;
}

export interface RolloutDriver {
  /** Versions to which this node sends no calls, `service@version`. */
  readonly held: ReadonlySet<string>;
  /** Evidence over time of a rollout that this node led, oldest first. */
  history(rollout: string): readonly EvidencePoint[];
  receive(from: NodeId, message: RolloutMessage): void;
  /** Counts a call. Cheap enough to be called on the call path. */
  recordCall(event: CallEvent): void;
  tick(): void;
}

/** Creates the driver. */
export function driveRollout(opts: DriveRolloutOptions): RolloutDriver {
  const { context, config, mesh } = opts;
  const { self, loop, now, recorder } = context;
  const options = { self: self.id, domain: self.domain, boot: self.boot };
  const state = recorder.created(
    TraceSlice.Rollout,
    options,
    createRolloutState(options),
  );
  const decide = recorder.traced(TraceSlice.Rollout, decideRollout);
  let readers: readonly Reader[] = [];

  function run(event: RolloutEvent) {
    for (const effect of decide(state, event)) {
      switch (effect.type) {
        case "send":
          context.send(effect.to, effect.message);
          break;
        case "tell-domain":
          mesh.broadcast(effect.message);
          break;
        case "append":
          submit(effect.rollout, effect.record);
          break;
        case "hold-changed":
          logger("%s", effect.sentence);
          break;
        default:
          exhausted(effect);
      }
    }
  }

  async function submit(
    rollout: string,
    record: Parameters<ConfigDriver["submit"]>[0],
  ) {
    const reply = await config.submit(record);
    if (reply.type === "refused") logger("Record refused: %s.", reply.reason);
    loop.post(Priority.Rollback, () => run({ type: "settled", rollout }));
  }

  function findReaders(): readonly Reader[] {
    const { members } = mesh.membership;
    return pickReaders(aliveIds(mesh.membership), self.domain).map((id) => ({
      id,
      boot: id === self.id ? self.boot : members.get(id)?.row.info.boot ?? "",
    }));
  }

  function findPresent(): ReadonlySet<string> {
    const live = [...config.state().rollouts.values()].filter(isLive);
    const present = live.filter(({ service, version }) =>
      mesh.directory.isPresent(service, version)
    );
    return new Set(
      present.map(({ service, version }) => keyOfVersion(service, version)),
    );
  }

  function tickOnce() {
    run({
      type: "ticked",
      now: now(),
      wall: Date.now(),
      config: config.state(),
      readers,
      present: findPresent(),
      random: Math.random(),
    });
  }

  return {
    held: state.held,
    history: (rollout) =>
      state.tracks.get(rollout)?.leadership?.history ??
        state.endedHistories.get(rollout) ?? [],
    receive: (from, message) =>
      run({ type: "received", from, message, now: now() }),
    recordCall: run,
    tick() {
      readers = findReaders();
      tickOnce();
      if (state.tracks.size === 0) return;
      for (const delayMs of EXTRA_TICKS_MS) {
        setTimeout(() => loop.post(Priority.Rollback, tickOnce), delayMs)
          .unref();
      }
    },
  };
}
