/**
 * Writes snapshots of the configuration to the log and loads the newest one.
 * @module
 */
import createDebug from "debug";
import {
  createSnapshotState,
  decideSnapshot,
  type SnapshotPolicy,
} from "../config_log/decide_snapshot.ts";
import {
  type EncodedSnapshot,
  encodeSnapshot,
} from "../config_log/encode_snapshot.ts";
import type { ConfigRecord } from "../config_log/messages.ts";
import { splitSnapshot } from "../config_log/split_snapshot.ts";
import type { ConfigState, SubmitOutcome } from "../config_log/state.ts";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import type { ControlContext } from "./control_context.ts";
import type { LogClient } from "./log_client.ts";
import { readSnapshot } from "./read_snapshot.ts";

const logger = createDebug("lagoon:snapshot");

/** Options of `driveSnapshots`. */
export interface DriveSnapshotsOptions {
  readonly context: ControlContext;
  readonly log: LogClient;
  readonly policy: SnapshotPolicy;
  readonly config: () => ConfigState;
  readonly submit: (record: ConfigRecord) => Promise<SubmitOutcome>;
  /** Loads a snapshot that was read from the log. */
  readonly load: (snapshot: EncodedSnapshot) => void;
}

export interface SnapshotDriver {
  /** Writes a snapshot when one is due on this reader. */
  tick(isReader: boolean): void;
  /** Loads the newest complete snapshot of the log, if there is one. */
  startOver(): Promise<void>;
}

/** Creates the driver. */
export function driveSnapshots(opts: DriveSnapshotsOptions): SnapshotDriver {
  const { context, log, policy, config } = opts;
  const state = createSnapshotState(context.now());
  let isWriting = false;

  async function write() {
    isWriting = true;
    const snapshot = encodeSnapshot(config());
    const records = splitSnapshot(snapshot);
    logger("Writing a snapshot through offset %d.", snapshot.through);
    const outcomes = await Promise.all(records.map(opts.submit));
    isWriting = false;
    const isAccepted = outcomes.every((one) => one.type === "accepted");
    const result = isAccepted ? "was written" : "was not settled";
    logger("Snapshot through offset %d %s.", snapshot.through, result);
  }

  return {
    tick(isReader) {
      const isDue = decideSnapshot({
        state,
        policy,
        config: config(),
        isReader,
        now: context.now(),
        random: Math.random(),
      });
      // During an outage the previous snapshot is still waiting for the log.
      if (isDue && !isWriting) write();
    },
    async startOver() {
      const read = await readSnapshot({
        log,
        onSkipped: (error) => logger("%s", formatError(error)),
      });
      if (read.isErr()) {
        logger("%s", formatError(read.error));
        return;
      }
      await new Promise<void>((resolve) => {
        const isPosted = context.loop.post(Priority.Config, () => {
          resolve();
          opts.load(read.value);
        });
        if (!isPosted) resolve();
      });
    },
  };
}
