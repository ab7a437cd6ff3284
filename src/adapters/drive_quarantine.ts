/**
 * Drives the quarantine of requests that crash their upstreams.
 * @module
 */
import createDebug from "debug";
import { Priority } from "../control/create_control_loop.ts";
import { exhausted } from "../core/exhausted.ts";
import type { EndpointId, MonotonicMs, NodeId } from "../core/types.ts";
import { decideBegin } from "../quarantine/decide_begin.ts";
import { TraceSlice } from "../trace/messages.ts";
import { decideQuarantine } from "../quarantine/decide_quarantine.ts";
import { levelOf } from "../quarantine/merge_row.ts";
import type { Fingerprint, QuarantineMessage } from "../quarantine/messages.ts";
import {
  createQuarantineState,
  type IsolatedRunVerdict,
  type QuarantineEvent,
  SuspicionLevel,
} from "../quarantine/state.ts";
import type { ControlContext } from "./control_context.ts";
import { isEndpointUp } from "./is_endpoint_up.ts";

const logger = createDebug("lagoon:quarantine");

const waitTickMs = 25;

/** Options of `driveQuarantine`. */
export interface DriveQuarantineOptions {
  readonly context: ControlContext;
  /** Live nodes of the own failure domain. */
  readonly members: () => readonly NodeId[];
}

/** A call that is about to be dispatched to an endpoint of this home. */
export interface StartCallOptions {
  readonly endpoint: EndpointId;
  readonly fingerprint: Fingerprint;
  readonly deadlineAt: MonotonicMs;
}

export type StartResult =
  | { readonly type: "started"; readonly call: number }
  /** It crashed upstreams before. Refuse it as not run. */
  | { readonly type: "convicted" }
  /** A trial takes the endpoint, or the request's trial is elsewhere. */
  | { readonly type: "busy" };

export interface QuarantineDriver {
  check(fingerprint: Fingerprint): SuspicionLevel;
  /** Waits within the deadline when the request must run alone. */
  start(opts: StartCallOptions): Promise<StartResult>;
  /** `isWhole` when the upstream answered the call to its end. */
  end(endpoint: EndpointId, call: number, isWhole: boolean): void;
  /**
   * A connection broke under a call. Resolves once it is known whether the
   * endpoint crashed and the domain has been told, so that the caller may be
   * answered. Not for an upstream that drains.
   */
  failed(endpoint: EndpointId, call: number): Promise<{ isCrash: boolean }>;
  receive(from: NodeId, message: QuarantineMessage): void;
  tick(): void;
  close(): void;
}

/**
 * Creates the driver. `start` and `end` decide at once: decisions are
 * synchronous on the one thread, and a call can't wait for the control loop.
 */
export function driveQuarantine(
  opts: DriveQuarantineOptions,
): QuarantineDriver {
  const { context, members } = opts;
  const { self, loop, now, recorder } = context;
  const state = recorder.created(
    TraceSlice.Quarantine,
    { self: self.id, boot: self.boot },
    createQuarantineState(self.id, self.boot),
  );
  const decide = recorder.traced(TraceSlice.Quarantine, decideQuarantine);
  const begin = recorder.traced(TraceSlice.Quarantine, decideBegin);
  const trials = new Map<string, (verdict: IsolatedRunVerdict) => void>();
  const changes = new Map<EndpointId, Set<() => void>>();
  const crashes = new Map<EndpointId, Promise<boolean>>();
  const told = new Map<EndpointId, () => void>();
  let timer: NodeJS.Timeout | undefined;
  let lastTrial = 0;

  function send(to: NodeId, message: QuarantineMessage) {
    if (to !== self.id) return context.send(to, message);
    loop.post(Priority.Rollback, () => receive(self.id, message));
  }

  function run(event: QuarantineEvent) {
    for (const effect of decide(state, event)) {
      switch (effect.type) {
        case "send":
          send(effect.to, effect.message);
          break;
        case "resolve":
          trials.get(effect.trial)?.(effect.verdict);
          trials.delete(effect.trial);
          break;
        case "told":
          told.get(effect.endpoint)?.();
          told.delete(effect.endpoint);
          break;
        default:
          exhausted(effect);
      }
    }
    schedule();
  }

  /** Ticks often only while a trial or the news of a crash waits. */
  function schedule() {
    if (timer !== undefined) return;
    if (state.requested.size === 0 && state.crashUpdates.size === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      loop.post(Priority.Rollback, tick);
    }, waitTickMs);
  }

  function tick() {
    run({ type: "ticked", members: members(), now: now() });
  }

  function receive(from: NodeId, message: QuarantineMessage) {
    run({ type: "received", from, message, members: members(), now: now() });
  }

  function askTrial(call: StartCallOptions, trial: string) {
    const { fingerprint, deadlineAt } = call;
    return new Promise<IsolatedRunVerdict>((resolve) => {
      trials.set(trial, resolve);
      run({
        type: "trial-asked",
        fingerprint,
        trial,
        deadlineAt,
        members: members(),
        now: now(),
      });
    });
  }

  function dropTrial(fingerprint: Fingerprint, trial: string) {
    const type = "trial-dropped";
    run({ type, fingerprint, trial, members: members(), now: now() });
  }

  /** Resolves when a call of the endpoint ends, or at the deadline. */
  function change(endpoint: EndpointId, deadlineAt: MonotonicMs) {
    return new Promise<void>((resolve) => {
      const waiting = changes.get(endpoint) ?? new Set();
      changes.set(endpoint, waiting);
      const done = () => {
        clearTimeout(limit);
        waiting.delete(done);
        resolve();
      };
      const limit = setTimeout(done, Math.max(0, deadlineAt - now()));
      waiting.add(done);
    });
  }

  function noteChange(endpoint: EndpointId) {
    for (const wake of changes.get(endpoint) ?? []) wake();
  }

  async function start(call: StartCallOptions): Promise<StartResult> {
    const { endpoint, fingerprint, deadlineAt } = call;
    let trial = "";
    const leave = (type: "convicted" | "busy"): StartResult => {
      if (trial !== "") dropTrial(fingerprint, trial);
      noteChange(endpoint);
      return { type };
    };
    for (;;) {
      const type = "begin";
      const [began] = begin(state, { type, endpoint, fingerprint, trial });
      switch (began.type) {
        case "started":
          return began;
        case "occupied":
          // Without a trial the call is free to go to another home.
          if (trial === "" || now() >= deadlineAt) return leave("busy");
          await change(endpoint, deadlineAt);
          break;
        case "suspected": {
          const next = await nextTrial(call);
          if (next.type === "run") break;
          if (next.type !== "run-alone") return leave(next.type);
          trial = next.trial;
          break;
        }
        default:
          exhausted(began);
      }
    }
  }

  function nextTrial(call: StartCallOptions): Promise<IsolatedRunVerdict> {
    if (levelOf(state, call.fingerprint) === SuspicionLevel.Quarantined) {
      return Promise.resolve({ type: "convicted" });
    }
    return askTrial(call, `${self.boot}/${lastTrial++}`);
  }

  function end(endpoint: EndpointId, call: number, isWhole: boolean) {
    const type = "ended";
    run({ type, endpoint, call, isWhole, members: members(), now: now() });
    noteChange(endpoint);
  }

  /** All calls of the endpoint fail together: the first one looks. */
  async function noteCrash(endpoint: EndpointId): Promise<boolean> {
    if (await isEndpointUp(endpoint)) return false;
    logger("Endpoint %s crashed.", endpoint);
    await new Promise<void>((resolve) => {
      told.set(endpoint, resolve);
      run({ type: "crashed", endpoint, members: members(), now: now() });
    });
    noteChange(endpoint);
    return true;
  }

  return {
    check: (fingerprint) => levelOf(state, fingerprint),
    start,
    end,
    async failed(endpoint, call) {
      const isKnown = state.endpoints.get(endpoint)?.running.has(call) !== true;
      // A later look would blame calls that have started since.
      if (isKnown) return { isCrash: await (crashes.get(endpoint) ?? true) };
      const known = crashes.get(endpoint) ?? noteCrash(endpoint);
      crashes.set(endpoint, known);
      const isCrash = await known;
      if (crashes.get(endpoint) === known) crashes.delete(endpoint);
      if (!isCrash) end(endpoint, call, false);
      return { isCrash };
    },
    receive,
    tick,
    close: () => clearTimeout(timer),
  };
}
