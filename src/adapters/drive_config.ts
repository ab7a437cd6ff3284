/**
 * Drives the configuration: folds records, appends records and snapshots, and
 * compiles the configuration that is in force.
 * @module
 */
import createDebug from "debug";
import { createConfigState } from "../config_log/create_config_state.ts";
import { decodeSnapshot } from "../config_log/decode_snapshot.ts";
import {
  type EncodedSnapshot,
  encodeSnapshot,
} from "../config_log/encode_snapshot.ts";
import { decideConfig } from "../config_log/decide_config.ts";
import type { SnapshotPolicy } from "../config_log/decide_snapshot.ts";
import type { ConfigRecord, LogRecord } from "../config_log/messages.ts";
import type { ConfigState, SubmitOutcome } from "../config_log/state.ts";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type { Directory, Offset } from "../core/types.ts";
import { decideServing } from "../serving/decide_serving.ts";
import { findPresent } from "../serving/find_present.ts";
import { createServingState, type ServingConfig } from "../serving/state.ts";
import { TraceSlice } from "../trace/messages.ts";
import type { ControlContext } from "./control_context.ts";
import { driveAppend } from "./drive_append.ts";
import { driveSnapshots } from "./drive_snapshots.ts";
import type { LogClient } from "./log_client.ts";
import { MetricName } from "./metrics.ts";

const logger = createDebug("lagoon:config");

/** Options of `driveConfig`. */
export interface DriveConfigOptions {
  readonly context: ControlContext;
  readonly log: LogClient;
  readonly directory: () => Directory;
  /** Lowest version that may be served, undefined until it is known. */
  readonly floor: () => Offset | undefined;
  readonly snapshots?: SnapshotPolicy;
  /**
   * Called with the folded records; without any after a snapshot was loaded.
   */
  readonly onFolded: (records: readonly LogRecord[]) => void;
  /** Called when another version has come into force. */
  readonly onApplied: (version: Offset) => void;
}

export interface ConfigDriver {
  state(): ConfigState;
  /** Configuration in force, undefined while there is none. */
  serving(): ServingConfig | undefined;
  fold(records: readonly LogRecord[]): void;
  loadSnapshot(snapshot: EncodedSnapshot): void;
  /** Returns the state as a snapshot, which is encoded once per offset. */
  snapshot(): EncodedSnapshot;
  /** Compiles again after upstreams were added or removed. */
  recompile(): void;
  /** Appends a record. Resolves with its verdict once it was folded. */
  submit(record: ConfigRecord): Promise<SubmitOutcome>;
  /**
   * Loads the log's newest snapshot. Called when the record at the next offset
   * is past retention.
   */
  startOver(): Promise<void>;
  tick(isReader: boolean): void;
  /** Settles all waiting records as closed. */
  close(): void;
}

/** When a reader writes a snapshot, unless the settings override it. */
export const DEFAULT_SNAPSHOT_POLICY: SnapshotPolicy = {
  everyRecords: 4_000,
  everyMs: 120 * 60_000,
};

/** Creates the driver. All its methods run on the control loop. */
export function driveConfig(opts: DriveConfigOptions): ConfigDriver {
  const { context, log } = opts;
  const { metrics, recorder } = context;
  let state = recorder.created(TraceSlice.Config, {}, createConfigState());
  const decideFold = recorder.traced(TraceSlice.Config, decideConfig);
  const serving = recorder.created(
    TraceSlice.Serving,
    {},
    createServingState(),
  );
  const decideInForce = recorder.traced(TraceSlice.Serving, decideServing);
  let isCompileDue = false;
  let encoded: EncodedSnapshot | undefined;
  const append = driveAppend({ context, log, config: () => state });
  const snapshots = driveSnapshots({
    context,
    log,
    policy: opts.snapshots ?? DEFAULT_SNAPSHOT_POLICY,
    config: () => state,
    submit: append.submit,
    load: loadSnapshot,
  });

  function fold(records: readonly LogRecord[]) {
    for (const record of records) {
      for (const verdict of decideFold(state, { type: "record", record })) {
        append.recordVerdict(record, verdict);
        metrics.count(MetricName.Verdicts, 1, { kind: verdict.type });
      }
    }
    handleFolded(records);
  }

  function handleFolded(records: readonly LogRecord[]) {
    opts.onFolded(records);
    recompile();
  }

  function loadSnapshot(snapshot: EncodedSnapshot) {
    // Newer records may have been folded while the snapshot was being read.
    if (snapshot.through < state.next) return;
    const decoded = decodeSnapshot(snapshot);
    if (decoded.isErr()) {
      logger("%s", formatError(decoded.error));
      return;
    }
    decideFold(state, { type: "snapshot", snapshot });
    state = decoded.value;
    recorder.replaced(TraceSlice.Config, state);
    append.recordSkipped();
    logger("Loaded the snapshot through offset %d.", snapshot.through);
    handleFolded([]);
  }

  /** Compiles once for all events that are queued in the loop. */
  function recompile() {
    if (isCompileDue) return;
    // An idle loop runs the event immediately, so the flag is set first.
    isCompileDue = true;
    context.loop.post(Priority.Config, () => {
      isCompileDue = false;
      compile();
    });
  }

  function compile() {
    const effects = decideInForce(serving, {
      type: "compile",
      config: state,
      present: findPresent({ config: state, directory: opts.directory() }),
      floor: opts.floor(),
    });
    for (const effect of effects) {
      switch (effect.type) {
        case "applied":
          handleApplied(effect.version);
          break;
        case "older":
        case "broken":
          logger(
            "Version %d was not put in force: %s.",
            effect.version,
            effect.reason,
          );
          break;
        case "swapped":
          break;
        default:
          exhausted(effect);
      }
    }
  }

  function handleApplied(version: Offset) {
    logger("Version %d is in force.", version);
    metrics.gauge(MetricName.Applied, version);
    opts.onApplied(version);
  }

  return {
    state: () => state,
    serving: () => serving.current,
    fold,
    loadSnapshot,
    snapshot() {
      const through = state.next - 1;
      if (encoded?.through !== through) encoded = encodeSnapshot(state);
      return encoded;
    },
    recompile,
    submit: append.submit,
    startOver: snapshots.startOver,
    tick(isReader) {
      append.tick();
      snapshots.tick(isReader);
    },
    close: append.close,
  };
}
