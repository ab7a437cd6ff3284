/**
 * Appends this node's records to the log and settles each with its verdict.
 * @module
 */
import createDebug from "debug";
import {
  type AppendEvent,
  createAppendState,
  decideAppend,
} from "../config_log/decide_append.ts";
import {
  CONFIG_STREAM,
  type ConfigRecord,
  type LogRecord,
} from "../config_log/messages.ts";
import {
  type ConfigState,
  type SubmitOutcome,
  UnsettledCode,
  type Verdict,
} from "../config_log/state.ts";
import { Priority } from "../control/create_control_loop.ts";
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import { TraceSlice } from "../trace/messages.ts";
import type { ControlContext } from "./control_context.ts";
import type { LogClient } from "./log_client.ts";
import { MetricName } from "./metrics.ts";

const logger = createDebug("lagoon:append");

/** Options of `driveAppend`. */
export interface DriveAppendOptions {
  readonly context: ControlContext;
  readonly log: LogClient;
  readonly config: () => ConfigState;
}

export interface AppendDriver {
  /** Appends a record. Always resolves, after about `SETTLE_WITHIN_MS`. */
  submit(record: ConfigRecord): Promise<SubmitOutcome>;
  /** Applies the verdict on a record, which this node may have submitted. */
  recordVerdict(record: LogRecord, verdict: Verdict): void;
  /** Called when a snapshot replaced records, possibly of this node. */
  recordSkipped(): void;
  tick(): void;
  /** Settles all waiting records as closed. */
  close(): void;
}

type Resolve = (outcome: SubmitOutcome) => void;

/** Creates the driver. */
export function driveAppend(opts: DriveAppendOptions): AppendDriver {
  const { context, log, config } = opts;
  const { now, loop, self, metrics, recorder } = context;
  const writer = `${self.id}/${self.boot}`;
  const state = recorder.created(
    TraceSlice.Append,
    writer,
    createAppendState(writer),
  );
  const decide = recorder.traced(TraceSlice.Append, decideAppend);
  const waiting = new Map<number, Resolve>();
  /** Submitted records that the control loop has not processed yet. */
  const queued = new Set<Resolve>();
  let isClosed = false;

  function run(event: AppendEvent) {
    const waitingBefore = state.pending.length;
    for (const effect of decide(state, event)) {
      switch (effect.type) {
        case "append":
          sendBatch(effect.envelopes.map((one) => JSON.stringify(one)));
          break;
        case "settle": {
          const { seq, outcome } = effect;
          if (outcome.type === "unsettled") {
            logger("Record %d was not settled: %s.", seq, outcome.code);
          }
          waiting.get(seq)?.(outcome);
          waiting.delete(seq);
          break;
        }
        default:
          exhausted(effect);
      }
    }
    const { length } = state.pending;
    if (length !== waitingBefore) metrics.gauge(MetricName.Waiting, length);
  }

  async function sendBatch(bodies: readonly string[]) {
    const reply = await log.append(CONFIG_STREAM, bodies);
    if (reply.isErr()) logger("%s", formatError(reply.error));
    loop.post(Priority.Config, () =>
      run(
        reply.isOk()
          ? { type: "replied", now: now() }
          : { type: "failed", now: now(), random: Math.random() },
      ));
  }

  function submit(record: ConfigRecord): Promise<SubmitOutcome> {
    return new Promise((resolve) => {
      if (isClosed) return resolve(closedUnsent);
      queued.add(resolve);
      loop.post(Priority.Config, () => {
        queued.delete(resolve);
        waiting.set(state.nextSeq, resolve);
        const { length } = JSON.stringify(record);
        const at = new Date().toISOString();
        run({ type: "submitted", record, length, at, now: now() });
      });
    });
  }

  return {
    submit,
    recordVerdict(record, verdict) {
      if (state.pending.length === 0) return;
      const lastWritten = config().writers.get(state.writer);
      if (lastWritten?.lastOffset !== record.offset) return;
      run({ type: "folded", seq: lastWritten.seq, verdict, now: now() });
    },
    recordSkipped() {
      const seq = config().writers.get(state.writer)?.seq ?? 0;
      run({ type: "skipped", seq, now: now() });
    },
    tick: () => run({ type: "ticked", now: now() }),
    close() {
      isClosed = true;
      run({ type: "closed" });
      for (const resolve of queued) resolve(closedUnsent);
      queued.clear();
    },
  };
}

const closedUnsent: SubmitOutcome = {
  type: "unsettled",
  code: UnsettledCode.Closed,
  mayTakeEffect: false,
};
