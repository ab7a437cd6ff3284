/**
 * Drives the configuration: folding, writing records, and what is in force.
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
  /** Lowest version that may be served, none until it is known. */
  readonly floor: () => Offset | undefined;
  readonly snapshots?: SnapshotPolicy;
  /** Called after records or, with none, a snapshot were folded. */
  readonly onFolded: (records: readonly LogRecord[]) => void;
  /** Called when another version came into force. */
  readonly onApplied: (version: Offset) => void;
}

export interface ConfigDriver {
  state(): ConfigState;
  /** Configuration in force, none before the first. */
  serving(): ServingConfig | undefined;
  fold(records: readonly LogRecord[]): void;
  loadSnapshot(snapshot: EncodedSnapshot): void;
  /** The state as a snapshot, encoded once for all who ask at one offset. */
  snapshot(): EncodedSnapshot;
  /** Compiles again, after upstreams came or went. */
  recompile(): void;
  /** Appends a record. Resolves with its verdict once the fold shows it. */
  submit(record: ConfigRecord): Promise<SubmitOutcome>;
  /** Starts over from the log's newest snapshot: the offset is gone. */
  startOver(): Promise<void>;
  tick(isReader: boolean): void;
  /** Settles every record that waits. */
  close(): void;
}

/** When a reader writes a snapshot, unless the settings say otherwise. */
export const defaultSnapshotPolicy: SnapshotPolicy = {
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
  const decideSwap = recorder.traced(TraceSlice.Serving, decideServing);
  let isCompileDue = false;
  let encoded: EncodedSnapshot | undefined;
  const append = driveAppend({ context, log, config: () => state });
  const snapshots = driveSnapshots({
    context,
    log,
    policy: opts.snapshots ?? defaultSnapshotPolicy,
    config: () => state,
    submit: append.submit,
    load: loadSnapshot,
  });

  function fold(records: readonly LogRecord[]) {
    for (const record of records) {
      for (const verdict of decideFold(state, { type: "record", record })) {
        append.noteVerdict(record, verdict);
        metrics.count(MetricName.Verdicts, 1, { kind: verdict.type });
      }
    }
    noteFolded(records);
  }

  function noteFolded(records: readonly LogRecord[]) {
    opts.onFolded(records);
    recompile();
  }

  function loadSnapshot(snapshot: EncodedSnapshot) {
    // Records may have been folded while the snapshot was on its way.
    if (snapshot.through < state.next) return;
    const decoded = decodeSnapshot(snapshot);
    if (decoded.isErr()) {
      logger("%s", formatError(decoded.error));
      return;
    }
    decideFold(state, { type: "snapshot", snapshot });
    state = decoded.value;
    recorder.replaced(TraceSlice.Config, state);
    append.noteSkipped();
    logger("Snapshot through %d loaded.", snapshot.through);
    noteFolded([]);
  }

  /** Compiles once for all events that wait in the loop. */
  function recompile() {
    if (isCompileDue) return;
    // An idle loop runs the event at once, so the mark goes first.
    isCompileDue = true;
    context.loop.post(Priority.Config, () => {
      isCompileDue = false;
      compile();
    });
  }

  function compile() {
    const effects = decideSwap(serving, {
      type: "compile",
      config: state,
      present: findPresent({ config: state, directory: opts.directory() }),
      floor: opts.floor(),
    });
    for (const effect of effects) {
      switch (effect.type) {
        case "applied":
          noteApplied(effect.version);
          break;
        case "older":
        case "broken":
          logger("Version %d refused: %s.", effect.version, effect.reason);
          break;
        case "swapped":
          break;
        default:
          exhausted(effect);
      }
    }
  }

  function noteApplied(version: Offset) {
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
