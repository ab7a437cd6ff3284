/**
 * Drives the quarantine of requests that crash their upstreams. Suspect
 * requests run isolated: alone on an endpoint (a "trial" in messages).
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
import { isEndpointUp } from "../endpoint_proxy/is_endpoint_up.ts";

const logger = createDebug("lagoon:quarantine");

/** Interval of ticks while isolated runs or crash updates are pending. */
const PENDING_TICK_MS = 25;

/** Options of `driveQuarantine`. */
export interface DriveQuarantineOptions {
  readonly context: ControlContext;
  /** Live nodes of this node's failure domain. */
  readonly members: () => readonly NodeId[];
}

/** A call that is about to be dispatched to an endpoint on this VM. */
export interface StartCallOptions {
  readonly endpoint: EndpointId;
  readonly fingerprint: Fingerprint;
  readonly deadlineAt: MonotonicMs;
}

export type StartResult =
  | { readonly type: "started"; readonly call: number }
  /** The request crashed upstreams before and is refused as not run. */
  | { readonly type: "convicted" }
  /**
   * An isolated run has reserved the endpoint, or the call got no isolated run
   * before its deadline.
   */
  | { readonly type: "busy" };

export interface QuarantineDriver {
  check(fingerprint: Fingerprint): SuspicionLevel;
  /**
   * Starts a call, or returns why it can't start. If the request must run
   * alone, waits for an isolated run, at most until the deadline.
   */
  start(opts: StartCallOptions): Promise<StartResult>;
  /** `isWhole` is true if the upstream answered the call completely. */
  end(endpoint: EndpointId, call: number, isWhole: boolean): void;
  /**
   * Called when a connection broke during a call. Resolves once the endpoint
   * has been checked and, if it crashed, the crash has been announced to the
   * failure domain. The caller is answered after that.
   */
  failed(endpoint: EndpointId, call: number): Promise<{ isCrash: boolean }>;
  receive(from: NodeId, message: QuarantineMessage): void;
  tick(): void;
  close(): void;
}

/**
 * Creates the driver. `start` and `end` decide immediately instead of on the
 * control loop, since a call can't wait for the loop. Decisions are synchronous
 * and the process has one thread, so they can't interleave.
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
  const isolatedRuns = new Map<string, (verdict: IsolatedRunVerdict) => void>();
  const changes = new Map<EndpointId, Set<() => void>>();
  const crashes = new Map<EndpointId, Promise<boolean>>();
  const announced = new Map<EndpointId, () => void>();
  let timer: NodeJS.Timeout | undefined;
  let lastRunNumber = 0;

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
          isolatedRuns.get(effect.trial)?.(effect.verdict);
          isolatedRuns.delete(effect.trial);
          break;
        case "told":
          announced.get(effect.endpoint)?.();
          announced.delete(effect.endpoint);
          break;
        default:
          exhausted(effect);
      }
    }
    schedule();
  }

  /** Schedules ticks only while isolated runs or crash updates are pending. */
  function schedule() {
    if (timer !== undefined) return;
    if (state.requested.size === 0 && state.crashUpdates.size === 0) return;
    timer = setTimeout(() => {
      timer = undefined;
      loop.post(Priority.Rollback, tick);
    }, PENDING_TICK_MS);
  }

  function tick() {
    run({ type: "ticked", members: members(), now: now() });
  }

  function receive(from: NodeId, message: QuarantineMessage) {
    run({ type: "received", from, message, members: members(), now: now() });
  }

  function requestIsolatedRun(call: StartCallOptions, trial: string) {
    const { fingerprint, deadlineAt } = call;
    return new Promise<IsolatedRunVerdict>((resolve) => {
      isolatedRuns.set(trial, resolve);
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

  function dropIsolatedRun(fingerprint: Fingerprint, trial: string) {
    const type = "trial-dropped";
    run({ type, fingerprint, trial, members: members(), now: now() });
  }

  /** Resolves when a call of the endpoint ends, or at the deadline. */
  function waitForChange(endpoint: EndpointId, deadlineAt: MonotonicMs) {
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

  function notifyWaiting(endpoint: EndpointId) {
    for (const wake of changes.get(endpoint) ?? []) wake();
  }

  async function start(call: StartCallOptions): Promise<StartResult> {
    const { endpoint, fingerprint, deadlineAt } = call;
    let trial = "";
    const refuse = (type: "convicted" | "busy"): StartResult => {
      if (trial !== "") dropIsolatedRun(fingerprint, trial);
      notifyWaiting(endpoint);
      return { type };
    };
    for (;;) {
      const type = "begin";
      const [began] = begin(state, { type, endpoint, fingerprint, trial });
      switch (began.type) {
        case "started":
          return began;
        case "occupied":
          // Without an isolated run the call may go to another home node.
          if (trial === "" || now() >= deadlineAt) return refuse("busy");
          await waitForChange(endpoint, deadlineAt);
          break;
        case "suspected": {
          const next = await nextIsolatedRun(call);
          if (next.type === "run") break;
          if (next.type !== "run-alone") return refuse(next.type);
          trial = next.trial;
          break;
        }
        default:
          exhausted(began);
      }
    }
  }

  function nextIsolatedRun(
    call: StartCallOptions,
  ): Promise<IsolatedRunVerdict> {
    if (levelOf(state, call.fingerprint) === SuspicionLevel.Quarantined) {
      return Promise.resolve({ type: "convicted" });
    }
    return requestIsolatedRun(call, `${self.boot}/${lastRunNumber++}`);
  }

  function end(endpoint: EndpointId, call: number, isWhole: boolean) {
    const type = "ended";
    run({ type, endpoint, call, isWhole, members: members(), now: now() });
    notifyWaiting(endpoint);
  }

  /** Checks once for all calls of the endpoint, since they fail together. */
  async function checkForCrash(endpoint: EndpointId): Promise<boolean> {
    if (await isEndpointUp(endpoint)) return false;
    logger("Endpoint %s crashed.", endpoint);
    await new Promise<void>((resolve) => {
      announced.set(endpoint, resolve);
      run({ type: "crashed", endpoint, members: members(), now: now() });
    });
    notifyWaiting(endpoint);
    return true;
  }

  return {
    check: (fingerprint) => levelOf(state, fingerprint),
    start,
    end,
    async failed(endpoint, call) {
      const isKnown = state.endpoints.get(endpoint)?.running.has(call) !== true;
      // The crash of this call was already handled. Another check would
      // attribute it to calls that started since.
      if (isKnown) return { isCrash: await (crashes.get(endpoint) ?? true) };
      const known = crashes.get(endpoint) ?? checkForCrash(endpoint);
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
