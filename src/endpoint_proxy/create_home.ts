/**
 * The home of the endpoint beside this node.
 * @module
 */
import {
  type Attempt,
  type AttemptEvent,
  type Home,
  LOWEST_SERVER_ERROR,
  type OfferedCall,
  RefusedBy,
} from "../calls/state.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import type { Instance } from "../local_endpoint/state.ts";
import {
  decideQueue,
  findRefusalReason,
  type FindRefusalReasonOptions,
  reportQueue,
} from "../queue/decide_queue.ts";
import {
  createQueueState,
  type Gate,
  type QueuedCall,
  type QueueEffect,
  type QueueReport,
  RefusalReason,
} from "../queue/state.ts";
import type { CallDialect } from "../sidecar/platform_port.ts";
import type { Run } from "../traffic_shift/count_run.ts";
import { createEndpointConnector } from "./connect_endpoint.ts";
import { type BufferedBody, createBodyBuffer } from "./create_body_buffer.ts";
import {
  createEndpointPool,
  type EndpointPool,
} from "./create_endpoint_pool.ts";
import { isSameSoftware } from "./is_same_software.ts";
import { describeLateRun, type LateRun } from "./describe_late_run.ts";
import {
  runCall,
  type RunEvent,
  type RunningAttempt,
  type UntrustedAnswer,
} from "./run_call.ts";

/** Connections besides the slots, for those that are just being closed. */
const spareConnections = 4;

/** Time for a connection on the same VM, in milliseconds. */
const connectMs = 500;

/** Time between looks at the queue while calls wait or run. */
const tickMs = 40;

/** Time after which an endpoint that took no connection is tried again. */
const unreachableMs = 300;

/** An endpoint's own answer at the deadline is waited for this long. */
const graceMs = 150;

/** Options of `createHome`. */
export interface CreateHomeOptions {
  readonly endpointAddress: string;
  readonly dialect: CallDialect;
  readonly now: () => MonotonicMs;
  /** Told of each run that was answered or failed. */
  readonly onRun: (run: Run) => void;
  /** Told of each answer that came past the aim of its call. */
  readonly onLate: (run: LateRun) => void;
  /** Told of each answer that was not taken for its call's. */
  readonly onUntrustedAnswer: (
    call: OfferedCall,
    answer: UntrustedAnswer,
  ) => void;
  /** Told when the endpoint can't be used as announced. */
  readonly onTrouble: (reason: string) => void;
  /** Told of a call that was routed to another endpoint than the present one. */
  readonly onMisdirected: (call: OfferedCall, present: Instance) => void;
}

export interface LocalHome extends Home {
  /** Opens or closes the gate for the endpoint as last heard of. */
  setInstance(instance: Instance | undefined, reason: string): void;
  /** Its queue as other nodes are told of it, for a route where one is given. */
  report(route?: string): QueueReport;
  /** Whether calls run, wait, or send their bodies. */
  isBusy(): boolean;
  /** Whether the endpoint runs the call with this id. */
  runs(callId: string): boolean;
  /** A call that this one has made failed, so it may fail through no fault. */
  excuse(callId: string): void;
  close(): Promise<void>;
}

interface OpenCall {
  call: OfferedCall;
  readonly offeredAt: MonotonicMs;
  readonly deadlineAt: MonotonicMs;
  readonly onEvent: (event: AttemptEvent) => void;
  /** The body, where it comes before the run. */
  body?: BufferedBody;
  isGathered?: boolean;
  run?: RunningAttempt;
  timer?: NodeJS.Timeout;
  startedAt?: MonotonicMs;
  /** The endpoint as it was announced when the run began. */
  runningOn?: Instance;
  isExcused?: boolean;
}

/** Creates the home. Its gate is closed until an instance is set. */
export function createHome(opts: CreateHomeOptions): LocalHome {
  const { dialect, now } = opts;
  const connector = createEndpointConnector({ connectMs });
  const queue = createQueueState();
  const gathering = createBodyBuffer({ now });
  const open = new Map<number, OpenCall>();
  const running = new Map<string, OpenCall>();
  let lastKey = 0;
  let instance: Instance | undefined;
  let pool: EndpointPool | undefined;
  let ticker: NodeJS.Timeout | undefined;
  let reopener: NodeJS.Timeout | undefined;

  function apply(effects: readonly QueueEffect[]) {
    for (const effect of effects) applyOne(effect);
    const isBusy = queue.running.size + queue.waiting.size > 0;
    if (isBusy && ticker === undefined) {
      ticker = setTimeout(() => {
        ticker = undefined;
        apply(decideQueue(queue, { type: "ticked", now: now() }));
      }, tickMs);
    }
  }

  function applyOne(effect: QueueEffect) {
    const entry = open.get(effect.key);
    if (entry === undefined) return;
    switch (effect.type) {
      case "start":
        return start(effect.key, entry);
      case "refuse":
        forget(effect.key, entry);
        return refuse(entry, effect.reason, effect.waitMs);
      case "overdue":
        entry.onEvent({ type: "overdue" });
        return;
      default:
        exhausted(effect);
    }
  }

  /** The endpoint has got nothing of the call. */
  function refuse(entry: OpenCall, reason: RefusalReason, waitMs: number) {
    const refusal = { by: RefusedBy.Home, reason, waitMs };
    entry.onEvent({ type: "refused", refusal });
  }

  /** Gives back all that a call has held. */
  function forget(key: number, entry: OpenCall) {
    clearTimeout(entry.timer);
    entry.body?.close();
    open.delete(key);
  }

  function start(key: number, entry: OpenCall) {
    if (instance === undefined || pool === undefined) {
      throw new TypeError("a call started behind a closed gate");
    }
    entry.body?.close();
    entry.runningOn = instance;
    const leftMs = entry.deadlineAt - now();
    entry.startedAt = now();
    running.set(entry.call.id, entry);
    entry.timer = setTimeout(
      () => expire(key, entry),
      Math.max(0, leftMs) + graceMs,
    );
    entry.run = runCall({
      pool,
      dialect,
      call: entry.call,
      instanceId: instance.id,
      deadlineAt: entry.deadlineAt,
      now,
      isReset: connector.isReset,
      onEvent: (event) => takeRun(key, entry, event),
    });
    if (!entry.isGathered) entry.onEvent({ type: "admitted" });
  }

  function takeRun(key: number, entry: OpenCall, event: RunEvent) {
    switch (event.type) {
      case "chunk":
        entry.onEvent(event);
        return;
      case "answered": {
        const isFailed = event.head.status >= LOWEST_SERVER_ERROR;
        entry.onEvent(event);
        if (event.body === undefined) return;
        noteRun(entry, isFailed);
        noteLate(entry);
        end(key, entry, !isFailed);
        return;
      }
      case "ended":
        entry.onEvent(event);
        noteRun(entry, false);
        noteLate(entry);
        return end(key, entry, true);
      case "not-run":
        end(key, entry, false);
        if (!event.isReached) shut("the endpoint takes no connection");
        if (event.isWrongInstance) shut("another endpoint has the address");
        entry.onEvent({
          type: "refused",
          refusal: {
            by: event.isReached ? RefusedBy.Endpoint : RefusedBy.Home,
            reason: event.reason,
            waitMs: reportQueue(queue).meanMs,
          },
        });
        return;
      case "expired":
        end(key, entry, false);
        return refuse(entry, RefusalReason.NoTime, reportQueue(queue).meanMs);
      case "failed":
        if (event.doubtful) opts.onUntrustedAnswer(entry.call, event.doubtful);
        noteRun(entry, true);
        end(key, entry, false);
        entry.onEvent({
          type: "failed",
          failure: { reason: event.reason, isTimeout: false },
        });
        return;
      default:
        exhausted(event);
    }
  }

  function expire(key: number, entry: OpenCall) {
    entry.run?.cancel();
    noteRun(entry, true);
    end(key, entry, false);
    const failure = { reason: "its time is over", isTimeout: true };
    entry.onEvent({ type: "failed", failure });
  }

  function end(key: number, entry: OpenCall, isAnswered: boolean) {
    forget(key, entry);
    running.delete(entry.call.id);
    apply(decideQueue(queue, { type: "ended", key, isAnswered, now: now() }));
  }

  function noteRun(entry: OpenCall, isFailed: boolean) {
    const { runningOn } = entry;
    if (runningOn === undefined) return;
    opts.onRun({
      service: runningOn.service,
      version: runningOn.version,
      route: entry.call.route,
      isFailed,
      isExcused: entry.isExcused ?? false,
      tookMs: now() - (entry.startedAt ?? now()),
    });
  }

  function noteLate({ call, offeredAt, startedAt }: OpenCall) {
    if (startedAt === undefined) return;
    const late = describeLateRun({ call, offeredAt, startedAt, now: now() });
    if (late !== undefined) opts.onLate(late);
  }

  /** Takes no calls for a while, or until the endpoint's next ping. */
  function shut(reason: string) {
    opts.onTrouble(reason);
    gate({ type: "closed", reason });
    clearTimeout(reopener);
    reopener = setTimeout(openGate, unreachableMs);
  }

  function openGate() {
    if (instance === undefined) return;
    gate({ type: "open", slots: instance.slots });
  }

  function gate(next: Gate) {
    const coldUntil = instance?.coldUntil ?? -Infinity;
    apply(decideQueue(queue, {
      type: "gated",
      gate: next,
      coldUntil,
      now: now(),
    }));
  }

  /** The sender's row of this node is older than the endpoint. */
  function refuseMisdirected(key: number, entry: OpenCall, present: Instance) {
    opts.onMisdirected(entry.call, present);
    forget(key, entry);
    refuse(entry, RefusalReason.Misdirected, 0);
  }

  /** Asks the queue for a slot, or for the body where that comes first. */
  function receive(
    key: number,
    entry: OpenCall,
    offer: Omit<FindRefusalReasonOptions, "now">,
  ) {
    const { call } = entry;
    if (instance !== undefined && !isSameSoftware(call, instance)) {
      return refuseMisdirected(key, entry, instance);
    }
    if (!gathering.fits(call)) {
      const event = { type: "offered", ...offer, now: now() } as const;
      return apply(decideQueue(queue, event));
    }
    const objectiveAt = offer.call.objectiveAt -
      gathering.expectedMs(call.route);
    // Its own time is left out: one that was learnt in trouble has to be tried.
    const deadlineAt = entry.deadlineAt - gathering.turnMs(call.route);
    const shortened = {
      ...offer,
      call: { ...offer.call, objectiveAt, deadlineAt },
    };
    const reason = findRefusalReason(queue, { ...shortened, now: now() });
    if (reason !== undefined) {
      forget(key, entry);
      return refuse(entry, reason, report(call.route).routeMs);
    }
    entry.timer = setTimeout(() => {
      forget(key, entry);
      refuse(entry, RefusalReason.NoTime, reportQueue(queue).meanMs);
    }, Math.max(0, entry.deadlineAt - now()));
    entry.body = gathering.begin(call, (body) => {
      // Its turn may come at once.
      entry.body = body;
      entry.onEvent({ type: "admitted" });
    });
  }

  /** Calls whose bodies are on their way count as waiting. */
  function report(route?: string): QueueReport {
    const { running, waiting, meanMs, routeMs } = reportQueue(queue, route);
    const bodyMs = route === undefined ? 0 : gathering.expectedMs(route);
    return {
      running,
      waiting: waiting + gathering.size(),
      meanMs,
      routeMs: routeMs > 0 ? routeMs + Math.round(bodyMs) : 0,
    };
  }

  function takeChunk(
    key: number,
    entry: OpenCall,
    queued: QueuedCall,
    chunk: Buffer,
  ) {
    const { body } = entry;
    if (body === undefined || entry.isGathered) return entry.run?.send(chunk);
    body.add(chunk);
    if (!body.isWhole() || open.get(key) !== entry) return;
    entry.call = { ...entry.call, body: body.bytes() };
    entry.isGathered = true;
    clearTimeout(entry.timer);
    body.endTurn();
    // Elsewhere the body would have to travel once more.
    receive(key, entry, { call: queued, mayBeLate: true });
  }

  function withdraw(key: number, entry: OpenCall) {
    if (open.get(key) !== entry) return;
    entry.run?.cancel();
    if (entry.run !== undefined) return end(key, entry, false);
    forget(key, entry);
    apply(decideQueue(queue, { type: "withdrawn", key, now: now() }));
  }

  return {
    attempt(call, onEvent): Attempt {
      const key = ++lastKey;
      const at = now();
      const deadlineAt = at + call.leftMs;
      const entry: OpenCall = { call, offeredAt: at, deadlineAt, onEvent };
      open.set(key, entry);
      const { route, urgency, isNested, mayBeLate } = call;
      const objectiveAt = at + call.objectiveLeftMs;
      const times = { offeredAt: at, objectiveAt, deadlineAt };
      const queued = { key, route, urgency, isNested, ...times };
      const offer = { call: queued, mayBeLate };
      // After all that was read in this turn: a caller that leaves while the
      // node can't keep up withdraws its call before the endpoint gets it.
      setImmediate(() => {
        if (open.get(key) === entry) receive(key, entry, offer);
      });
      return {
        send: (chunk) => takeChunk(key, entry, queued, chunk),
        finish: () => entry.run?.finish(),
        cancel: () => withdraw(key, entry),
      };
    },
    setInstance(next, reason) {
      clearTimeout(reopener);
      const isSameStart = next?.id === instance?.id &&
        next?.bornAt === instance?.bornAt;
      const isReplaced = instance !== undefined && next !== undefined &&
        !isSameSoftware(instance, next);
      // What waits was routed to the software that is gone.
      if (isReplaced) gate({ type: "closed", reason: "its software changed" });
      instance = next;
      if (next === undefined) return gate({ type: "closed", reason });
      if (!isSameStart || pool === undefined) {
        // Answers of an earlier endpoint must not reach calls to this one.
        void pool?.close();
        pool = createEndpointPool({
          address: opts.endpointAddress,
          connections: next.slots + spareConnections,
          connector,
        });
      }
      openGate();
    },
    runs: (callId) => running.has(callId),
    excuse(callId) {
      const entry = running.get(callId);
      if (entry !== undefined) entry.isExcused = true;
    },
    report,
    isBusy: () => open.size > 0,
    async close() {
      clearTimeout(ticker);
      clearTimeout(reopener);
      for (const entry of open.values()) clearTimeout(entry.timer);
      gathering.close();
      await pool?.close();
    },
  };
}
