/**
 * Drives the configuration: folding, writing records, and what is in force.
 * @module
 */
import createDebug from "debug";
import { createConfigState } from "../config_log/create_config_state.ts";
import {
  type AppendEvent,
  createAppendState,
  decideAppend,
} from "../config_log/decide_append.ts";
import { decodeSnapshot } from "../config_log/decode_snapshot.ts";
import type { EncodedSnapshot } from "../config_log/encode_snapshot.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import {
  type ConfigRecord,
  configStream,
  type LogRecord,
} from "../config_log/messages.ts";
import type { ConfigState, Verdict } from "../config_log/state.ts";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type { Directory, Offset } from "../core/types.ts";
import { compileConfig } from "../serving/compile_config.ts";
import { decideSwap } from "../serving/decide_swap.ts";
import type { ServingConfig } from "../serving/state.ts";
import type { ControlContext } from "./control_context.ts";
import type { LogClient } from "./log_client.ts";

const logger = createDebug("lagoon:config");

/** Options of `driveConfig`. */
export interface DriveConfigOptions {
  readonly context: ControlContext;
  readonly log: LogClient;
  readonly directory: () => Directory;
  /** Lowest version that may be served, none until it is known. */
  readonly floor: () => Offset | undefined;
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
  /** Compiles again, after upstreams came or went. */
  recompile(): void;
  /** Appends a record. Resolves with its verdict once the fold shows it. */
  submit(record: ConfigRecord): Promise<Verdict>;
  tick(): void;
}

/** Creates the driver. All its methods run on the control loop. */
export function driveConfig(opts: DriveConfigOptions): ConfigDriver {
  const { context, log } = opts;
  const { now, loop } = context;
  let state = createConfigState();
  let serving: ServingConfig | undefined;
  const { id, boot } = context.self;
  const append = createAppendState(`${id}/${boot}`);
  const waiting = new Map<number, (verdict: Verdict) => void>();

  function fold(records: readonly LogRecord[]) {
    for (const record of records) {
      const verdict = foldRecord({ state, record });
      settleOwn(record, verdict);
    }
    noteFolded(records);
  }

  /** Tells the writer's queue that one of its records came through. */
  function settleOwn(record: LogRecord, verdict: Verdict) {
    if (append.pending.length === 0) return;
    const mark = state.writers.get(append.writer);
    if (mark?.lastOffset !== record.offset) return;
    runAppend({ type: "folded", seq: mark.seq, verdict, now: now() });
  }

  function noteFolded(records: readonly LogRecord[]) {
    opts.onFolded(records);
    recompile();
  }

  function loadSnapshot(snapshot: EncodedSnapshot) {
    const decoded = decodeSnapshot(snapshot);
    if (decoded.isErr()) {
      logger("%s", formatError(decoded.error));
      return;
    }
    state = decoded.value;
    logger("Snapshot through %d loaded.", snapshot.through);
    noteFolded([]);
  }

  function recompile() {
    const candidate = compileConfig({ state, directory: opts.directory() });
    if (candidate.version === 0) return;
    const floor = opts.floor();
    if (floor === undefined) return;
    const decision = decideSwap({ current: serving, candidate, floor });
    switch (decision.type) {
      case "swap":
        swap(candidate);
        return;
      case "older":
      case "broken":
        logger("Version %d refused: %s.", candidate.version, decision.reason);
        return;
      default:
        exhausted(decision);
    }
  }

  function swap(candidate: ServingConfig) {
    const isNew = candidate.version !== serving?.version;
    serving = candidate;
    if (!isNew) return;
    logger("Version %d is in force.", candidate.version);
    opts.onApplied(candidate.version);
  }

  function runAppend(event: AppendEvent) {
    for (const effect of decideAppend(append, event)) {
      switch (effect.type) {
        case "append":
          sendBatch(effect.envelopes.map((one) => JSON.stringify(one)));
          break;
        case "settle":
          waiting.get(effect.seq)?.(effect.verdict);
          waiting.delete(effect.seq);
          break;
        case "overflow":
          logger("Record %s dropped: too many wait.", effect.record.kind);
          break;
        default:
          exhausted(effect);
      }
    }
  }

  async function sendBatch(bodies: readonly string[]) {
    const reply = await log.append(configStream, bodies);
    if (reply.isErr()) logger("%s", formatError(reply.error));
    loop.post(Priority.Config, () =>
      runAppend(
        reply.isOk()
          ? { type: "replied", now: now() }
          : { type: "failed", now: now(), random: Math.random() },
      ));
  }

  function submit(record: ConfigRecord): Promise<Verdict> {
    const seq = append.nextSeq;
    const at = new Date().toISOString();
    const settled = new Promise<Verdict>((resolve) => {
      waiting.set(seq, resolve);
    });
    runAppend({ type: "submitted", record, at, now: now() });
    return settled;
  }

  return {
    state: () => state,
    serving: () => serving,
    fold,
    loadSnapshot,
    recompile,
    submit,
    tick: () => runAppend({ type: "ticked", now: now() }),
  };
}
