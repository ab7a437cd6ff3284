/**
 * Drives snapshots: writes them into the log and starts over from them.
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
  /** Takes a snapshot read from the log. */
  readonly load: (snapshot: EncodedSnapshot) => void;
}

export interface SnapshotDriver {
  /** Writes a snapshot when this reader has to. */
  tick(isReader: boolean): void;
  /** Loads the newest whole snapshot of the log, if there is one. */
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
    logger("Writing a snapshot through %d.", snapshot.through);
    const outcomes = await Promise.all(records.map(opts.submit));
    isWriting = false;
    const isWhole = outcomes.every((one) => one.type === "accepted");
    const told = isWhole ? "is written" : "was not settled";
    logger("Snapshot through %d %s.", snapshot.through, told);
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
      // During an outage the last one still waits for the log.
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
