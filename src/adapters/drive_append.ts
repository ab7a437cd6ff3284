/**
 * Drives the writing of this node's records into the log.
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
  /** Appends a record. Always resolves, within `SETTLE_WITHIN_MS` or so. */
  submit(record: ConfigRecord): Promise<SubmitOutcome>;
  /** Takes the verdict on a record that may be this node's own. */
  noteVerdict(record: LogRecord, verdict: Verdict): void;
  /** A snapshot took the place of records, own ones perhaps among them. */
  noteSkipped(): void;
  tick(): void;
  /** Settles what waits. */
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
  /** Submitted, but not yet taken by the loop. */
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
            logger("Record %d is unsettled: %s.", seq, outcome.code);
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
    noteVerdict(record, verdict) {
      if (state.pending.length === 0) return;
      const mark = config().writers.get(state.writer);
      if (mark?.lastOffset !== record.offset) return;
      run({ type: "folded", seq: mark.seq, verdict, now: now() });
    },
    noteSkipped() {
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
