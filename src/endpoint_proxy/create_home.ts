/**
 * Runs calls at the endpoint on this VM. This node is the endpoint's home node:
 * the only one that opens connections to it.
 * @module
 */
import type { Result } from "neverthrow";
import { isKeyRevoked } from "../accounts/is_key_revoked.ts";
import {
  type Attempt,
  type AttemptEvent,
  type Failure,
  type Home,
  LOWEST_SERVER_ERROR,
  MAX_UNSENT_ANSWER_BYTES,
  type OfferedCall,
  RefusedBy,
} from "../calls/state.ts";
import { decideColdStart } from "../cold_start/decide_cold_start.ts";
import { startsLeft } from "../cold_start/start_delay.ts";
import {
  type ColdStartEffect,
  type ColdStartEvent,
  createColdStartState,
} from "../cold_start/state.ts";
import type { LagoonError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import type { Instance } from "../local_endpoint/state.ts";
import { assessCall, type AssessCallOptions } from "../queue/assess_call.ts";
import { isOver } from "../queue/compare_calls.ts";
import { expectedRunMs } from "../queue/estimate.ts";
import { decideQueue, reportQueue } from "../queue/decide_queue.ts";
import {
  createQueueState,
  type Gate,
  type QueuedCall,
  type QueueEffect,
  type QueueReport,
  RefusalReason,
} from "../queue/state.ts";
import {
  CRASHES_TO_REFUSE,
  QUARANTINE_RETRY_MS,
} from "../quarantine/crash_chain.ts";
import { nextTickMs } from "../queue/next_tick.ts";
import { pacePercentAt } from "../queue/pace.ts";
import type { RouteTable, ServiceTerms } from "../routes/state.ts";
import { lateWaitShare } from "../shedding/late_wait_share.ts";
import type { CallDialect, EndpointLoad } from "../sidecar/platform_port.ts";
import type { Run } from "../traffic_shift/count_run.ts";
import { createEndpointConnector } from "./connect_endpoint.ts";
import { type BufferedBody, createBodyBuffer } from "./create_body_buffer.ts";
import {
  createEndpointPool,
  type EndpointPool,
} from "./create_endpoint_pool.ts";
import { isEndpointUp } from "./is_endpoint_up.ts";
import { isSameSoftware } from "./is_same_software.ts";
import {
  type HealthAnswer,
  requestHealth,
  requireColdMs,
} from "./request_health.ts";
import { describeLateRun, type LateRun } from "./describe_late_run.ts";
import {
  runCall,
  type RunEvent,
  type RunningAttempt,
  type UntrustedAnswer,
} from "./run_call.ts";

/**
 * Number of connections beyond the endpoint's slots. They replace connections
 * that are being closed.
 */
const SPARE_CONNECTIONS = 4;

/** Timeout for opening a connection on the same VM, in milliseconds. */
const CONNECT_TIMEOUT_MS = 500;

/**
 * Time during which no call is started after the endpoint accepted no
 * connection or another endpoint answered at its address, in milliseconds.
 */
const UNREACHABLE_RETRY_MS = 300;

/**
 * Time after a call's deadline during which the node still waits for a time-out
 * answer from the endpoint, in milliseconds.
 */
const ANSWER_GRACE_MS = 150;

/** Options of `createHome`. */
export interface CreateHomeOptions {
  readonly endpointAddress: string;
  readonly dialect: CallDialect;
  readonly now: () => MonotonicMs;
  /** Called after each run that was answered or failed. */
  readonly onRun: (run: Run) => void;
  /** Called for each call that the queue refuses for lack of capacity. */
  readonly onShed: (call: OfferedCall, shed: ShedRefusal) => void;
  /** Called after each answer past the latency objective of its call. */
  readonly onLateRun: (run: LateRun) => void;
  /** Called for each answer that can't be trusted (see `AnswerDefect`). */
  readonly onUntrustedAnswer: (
    call: OfferedCall,
    answer: UntrustedAnswer,
  ) => void;
  /** Called when the endpoint can't be used at its announced address. */
  readonly onUnusableEndpoint: (reason: string) => void;
  /** Bytes of answers that their receivers have not read yet. */
  readonly unsentBytes: () => number;
  /** Called for a call whose service or version the endpoint does not run. */
  readonly onMisdirected: (call: OfferedCall, present: Instance) => void;
  readonly suspects: SuspectRecords;
  /** Route table in force, by which API keys are found to be revoked. */
  readonly table: () => RouteTable | undefined;
  /** Called when the limit on starts at a cold endpoint begins or ends. */
  readonly onColdLimit: (change: ColdLimitChange) => void;
  /** Called for each call that this limit delays. */
  readonly onStartDelayed: () => void;
  readonly onHealthFailed: (err: LagoonError) => void;
}

export type ColdLimitChange = Exclude<
  ColdStartEffect,
  { readonly type: "request-health" }
>;

/** Why the queue refused a call for lack of capacity. */
export interface ShedRefusal {
  readonly reason: RefusalReason;
  /** Whether the call's account used more than its fair share. */
  readonly isOverShare: boolean;
}

/** Number of calls at a home node. */
export interface HomeCalls {
  readonly running: number;
  /** Calls that have not started, with those that are sending their bodies. */
  readonly waiting: number;
}

export interface LocalHome extends Home {
  /**
   * Opens the queue for the endpoint as last announced, or closes it for
   * `reason` when there is none.
   */
  setInstance(instance: Instance | undefined, reason: string): void;
  /** Applies the terms of the endpoint's service, once a table is known. */
  setTerms(terms: ServiceTerms | undefined): void;
  /** Applies the cold start that the newest ping of the endpoint states. */
  recordPing(ping: Pick<Instance, "coldUntil" | "heardAt">): void;
  /**
   * Limits starts until the endpoint states how long it stays cold, since what
   * it stated before may no longer be true.
   */
  invalidateColdTime(reason: string): void;
  /**
   * Refuses all calls that have not started while the failure domain of this
   * node is evacuated.
   */
  setEvacuated(isEvacuated: boolean): void;
  /**
   * Refuses, as not run, the calls that have not started and are not expected to
   * be answered by `endAt`, when this node ends.
   */
  limitAnswers(endAt: MonotonicMs): void;
  /** State of the queue as sent to other nodes, for `route` if it is given. */
  report(route?: string): QueueReport;
  /** Whether any call runs, waits or is sending its body. */
  isBusy(): boolean;
  countCalls(): HomeCalls;
  /** Whether the endpoint runs the call with this id. */
  isRunning(callId: string): boolean;
  /** How long the endpoint has run the call with this id, in milliseconds. */
  runMsOf(callId: string): number;
  /**
   * Asks the endpoint whether it leaves or fails. Resolves with undefined if it
   * did not say.
   */
  askWhetherLeaving(): Promise<boolean | undefined>;
  /** Records a load that the endpoint stated outside of a call. */
  recordLoad(load: EndpointLoad): void;
  /** `OfferedCall.deadlineRatio` of a running call. */
  deadlineRatioOf(callId: string): number | undefined;
  /**
   * Records that a nested call of the running call `callId` failed, so that a
   * failure of the run is not held against the endpoint's version.
   */
  recordNestedFailure(callId: string): void;
  close(): Promise<void>;
}

/** What is known of requests that crash the endpoints that run them. */
export interface SuspectRecords {
  /**
   * Number of endpoints that crashed one after the other while they ran the
   * request.
   */
  crashesOf(call: OfferedCall): number;
  /**
   * Records that the endpoint crashed while it ran these calls. Each comes with
   * the crashes that were known when its run began.
   */
  recordCrash(runs: readonly CrashedCall[]): void;
  /** Records that the endpoint answered the call completely. */
  recordAnswer(call: OfferedCall): void;
}

/** A call whose run ended with its endpoint. */
export interface CrashedCall {
  readonly call: OfferedCall;
  readonly crashes: number;
}

interface OpenCall {
  call: OfferedCall;
  readonly arrivedAt: MonotonicMs;
  readonly deadlineAt: MonotonicMs;
  readonly onEvent: (event: AttemptEvent) => void;
  /** See `QueuedCall.answerBy`. */
  answerBy?: MonotonicMs;
  /** The body, if it is buffered before the run. */
  body?: BufferedBody;
  /** Whether the complete body has been received into `call`. */
  isBuffered?: boolean;
  run?: RunningAttempt;
  timer?: NodeJS.Timeout;
  startedAt?: MonotonicMs;
  /** The endpoint's announcement that was current when the run began. */
  runningOn?: Instance;
  /** Crashes of endpoints by this request that were known then. */
  knownCrashes?: number;
  hasNestedFailure?: boolean;
}

/** Creates the home node's queue, closed until an instance is set. */
export function createHome(opts: CreateHomeOptions): LocalHome {
  const { dialect, now } = opts;
  const connector = createEndpointConnector({ connectMs: CONNECT_TIMEOUT_MS });
  const coldStart = createColdStartState(now());
  const queue = createQueueState(coldStart);
  const bodyBuffer = createBodyBuffer({ now });
  const openCalls = new Map<number, OpenCall>();
  const running = new Map<string, OpenCall>();
  let lastKey = 0;
  let instance: Instance | undefined;
  let pool: EndpointPool | undefined;
  let ticker: NodeJS.Timeout | undefined;
  let reopener: NodeJS.Timeout | undefined;
  let terms: ServiceTerms | undefined;
  let isEvacuated = false;
  /** When this node ends. Infinity while it is not shutting down. */
  let endAt = Infinity;
  let healthRequests = 0;
  /** Calls whose connections the endpoint closed, until it is known why. */
  const cut = new Set<OpenCall>();
  let crashCheck: Promise<boolean> | undefined;

  function apply(effects: readonly QueueEffect[]) {
    for (const effect of effects) applyOne(effect);
    const isBusy = queue.running.size + queue.waiting.size > 0;
    if (isBusy && ticker === undefined) {
      ticker = setTimeout(() => {
        ticker = undefined;
        apply(decideQueue(queue, { type: "ticked", now: now() }));
      }, nextTickMs(queue, now()));
    }
  }

  function applyOne(effect: QueueEffect) {
    const entry = openCalls.get(effect.key);
    if (entry === undefined) return;
    switch (effect.type) {
      case "start":
        return start(effect.key, entry);
      case "refuse":
        return shed(effect.key, entry, effect);
      case "overdue":
        entry.onEvent({ type: "overdue" });
        return;
      case "delayed":
        return opts.onStartDelayed();
      default:
        exhausted(effect);
    }
  }

  /** Refuses a call of which the endpoint has received nothing. */
  function refuse(entry: OpenCall, reason: RefusalReason, waitMs: number) {
    const refusal = { by: RefusedBy.Home, reason, waitMs };
    entry.onEvent({ type: "refused", refusal });
  }

  /** Refuses a call that the queue has no room for, or that is not open. */
  function shed(
    key: number,
    entry: OpenCall,
    refusal: ShedRefusal & { readonly waitMs: number },
  ) {
    const { reason, waitMs } = refusal;
    releaseCall(key, entry);
    if (reason !== RefusalReason.Closed) opts.onShed(entry.call, refusal);
    refuse(entry, reason, waitMs);
  }

  /** Frees the timer and buffered bytes of a call. */
  function releaseCall(key: number, entry: OpenCall) {
    clearTimeout(entry.timer);
    entry.body?.close();
    openCalls.delete(key);
  }

  function start(key: number, entry: OpenCall) {
    if (instance === undefined || pool === undefined) {
      throw new TypeError("queue started a call while no endpoint is set");
    }
    entry.body?.close();
    const knownCrashes = crashesOf(entry);
    if (knownCrashes >= CRASHES_TO_REFUSE) {
      end(key, entry, false);
      return refuse(entry, RefusalReason.Quarantined, QUARANTINE_RETRY_MS);
    }
    if (isKeyRevoked(entry.call.account, opts.table())) {
      end(key, entry, false);
      return refuse(entry, RefusalReason.Revoked, 0);
    }
    entry.knownCrashes = knownCrashes;
    entry.runningOn = instance;
    const leftMs = entry.deadlineAt - now();
    entry.startedAt = now();
    running.set(entry.call.id, entry);
    entry.timer = setTimeout(
      () => expire(key, entry),
      Math.max(0, leftMs) + ANSWER_GRACE_MS,
    );
    entry.run = runCall({
      pool,
      dialect,
      call: entry.call,
      instanceId: instance.id,
      deadlineAt: entry.deadlineAt,
      now,
      isReset: connector.isReset,
      onEvent: (event) => handleRunEvent(key, entry, event),
    });
    if (!entry.isBuffered) entry.onEvent({ type: "admitted" });
  }

  function handleRunEvent(key: number, entry: OpenCall, event: RunEvent) {
    switch (event.type) {
      case "load":
        return recordLoad(event.load);
      case "chunk":
        if (opts.unsentBytes() > MAX_UNSENT_ANSWER_BYTES) {
          return abortRun(key, entry, "too many bytes of answers are unread");
        }
        entry.onEvent(event);
        return;
      case "answered": {
        const isFailed = event.head.status >= LOWEST_SERVER_ERROR;
        entry.onEvent(event);
        if (event.body === undefined) return;
        recordRun(entry, isFailed);
        opts.suspects.recordAnswer(entry.call);
        reportLateRun(entry);
        end(key, entry, !isFailed);
        return;
      }
      case "ended":
        entry.onEvent(event);
        recordRun(entry, false);
        opts.suspects.recordAnswer(entry.call);
        reportLateRun(entry);
        return end(key, entry, true);
      case "not-run":
        end(key, entry, false);
        if (!event.isReached) suspend("the endpoint takes no connection");
        if (event.isWrongInstance) suspend("another endpoint has the address");
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
        if (event.rejected) opts.onUntrustedAnswer(entry.call, event.rejected);
        if (event.isCut) return void endCutRun(key, entry, event.reason);
        return endFailedRun(key, entry, { reason: event.reason });
      default:
        exhausted(event);
    }
  }

  function recordLoad({ pacePercent }: EndpointLoad) {
    if (pacePercent === undefined) return;
    const factor = pacePercent / 100;
    apply(decideQueue(queue, { type: "paced", factor, now: now() }));
  }

  function expire(key: number, entry: OpenCall) {
    abortRun(key, entry, "its time is over", true);
  }

  function abortRun(
    key: number,
    entry: OpenCall,
    reason: string,
    isTimeout = false,
  ) {
    entry.run?.cancel();
    endFailedRun(key, entry, { reason, isTimeout });
  }

  function endFailedRun(
    key: number,
    entry: OpenCall,
    failure: Pick<Failure, "reason"> & Partial<Failure>,
  ) {
    recordRun(entry, true);
    end(key, entry, false);
    entry.onEvent({
      type: "failed",
      failure: { isTimeout: false, crashes: 0, ...failure },
    });
  }

  /**
   * Ends a run whose connection the endpoint closed, once it is known whether
   * the endpoint has crashed: the caller must know before it sends the call to
   * another endpoint.
   */
  async function endCutRun(key: number, entry: OpenCall, reason: string) {
    cut.add(entry);
    crashCheck ??= checkCrash();
    const hasCrashed = await crashCheck;
    // The deadline may have passed, or the caller may have left.
    if (openCalls.get(key) !== entry) return;
    const crashes = hasCrashed ? (entry.knownCrashes ?? 0) + 1 : 0;
    endFailedRun(key, entry, { reason, crashes });
  }

  /** Finds out whether the endpoint has crashed, and records what it ran. */
  async function checkCrash(): Promise<boolean> {
    const isUp = await isEndpointUp(opts.endpointAddress);
    crashCheck = undefined;
    // An endpoint that announced its stop ends without a crash.
    const hasCrashed = !isUp && instance !== undefined;
    if (hasCrashed) {
      const ended = new Set([...cut, ...running.values()]);
      const runs = [...ended].map(({ call, knownCrashes = 0 }) => ({
        call,
        crashes: knownCrashes,
      }));
      opts.suspects.recordCrash(runs);
      suspend("the endpoint takes no connection");
    }
    cut.clear();
    return hasCrashed;
  }

  function crashesOf({ call }: OpenCall): number {
    return Math.max(call.crashes, opts.suspects.crashesOf(call));
  }

  function end(key: number, entry: OpenCall, isAnswered: boolean) {
    releaseCall(key, entry);
    // A call that was sent again with the same id may run by now.
    if (running.get(entry.call.id) === entry) running.delete(entry.call.id);
    apply(decideQueue(queue, { type: "ended", key, isAnswered, now: now() }));
  }

  function recordRun(entry: OpenCall, isFailed: boolean) {
    const { runningOn } = entry;
    if (runningOn === undefined) return;
    opts.onRun({
      service: runningOn.service,
      version: runningOn.version,
      route: entry.call.route,
      isFailed,
      hasNestedFailure: entry.hasNestedFailure ?? false,
      tookMs: now() - (entry.startedAt ?? now()),
    });
  }

  function reportLateRun({ call, arrivedAt, startedAt }: OpenCall) {
    if (startedAt === undefined) return;
    const late = describeLateRun({
      call,
      arrivedAt,
      startedAt,
      pacePercent: pacePercentAt(queue.pace, now()),
      now: now(),
    });
    if (late !== undefined) opts.onLateRun(late);
  }

  /** Closes the queue for a while, or until the endpoint's next ping. */
  function suspend(reason: string) {
    opts.onUnusableEndpoint(reason);
    decideCold({ type: "invalidated", reason, now: now() });
    gate({ type: "closed", reason });
    clearTimeout(reopener);
    reopener = setTimeout(openGate, UNREACHABLE_RETRY_MS);
  }

  function openGate() {
    if (instance === undefined || isEvacuated) return;
    decideCold({ type: "opened" });
    gate({ type: "open", slots: instance.slots });
  }

  function decideCold(event: ColdStartEvent) {
    for (const effect of decideColdStart(coldStart, event)) {
      switch (effect.type) {
        case "request-health":
          void checkColdStart();
          break;
        case "limit-began":
        case "limit-ended":
          opts.onColdLimit(effect);
          break;
        default:
          exhausted(effect);
      }
    }
  }

  /** Returns undefined if no endpoint or no health path is known. */
  function askHealth(): Promise<Result<HealthAnswer, LagoonError>> | undefined {
    if (pool === undefined || terms === undefined) return undefined;
    return requestHealth({
      pool,
      dialect,
      path: terms.healthCheckPath,
      address: opts.endpointAddress,
      id: `health ${++healthRequests}`,
    });
  }

  async function checkColdStart() {
    const asked = askHealth();
    if (asked === undefined) return;
    const requestedAt = now();
    decideCold({ type: "started", now: requestedAt });
    const answer = await asked;
    const coldMs = answer.andThen((one) =>
      requireColdMs(one, opts.endpointAddress)
    );
    if (coldMs.isErr()) return opts.onHealthFailed(coldMs.error);
    recordColdUntil(now() + coldMs.value, requestedAt);
  }

  /** Applies a statement that the endpoint made after `requestedAt`. */
  function recordColdUntil(until: MonotonicMs, requestedAt: MonotonicMs) {
    decideCold({ type: "stated", until, requestedAt, now: now() });
    if (instance !== undefined) instance = { ...instance, coldUntil: until };
    const event = { type: "cold-changed", coldUntil: until } as const;
    apply(decideQueue(queue, { ...event, now: now() }));
  }

  function gate(next: Gate) {
    const coldUntil = instance?.coldUntil ?? -Infinity;
    apply(decideQueue(queue, {
      type: "gate-changed",
      gate: next,
      coldUntil,
      now: now(),
    }));
  }

  /** Refuses the calls whose bodies are still being received. */
  function refuseUploads() {
    for (const [key, entry] of openCalls) {
      if (!isUpload(entry)) continue;
      releaseCall(key, entry);
      refuse(entry, RefusalReason.Closed, 0);
    }
  }

  /** Whether the body of a call that has not started is being received. */
  function isUpload({ body, isBuffered = false, run }: OpenCall): boolean {
    return body !== undefined && !isBuffered && run === undefined;
  }

  /** Refuses an upload that is not complete in time. */
  function watchUpload(key: number, entry: OpenCall) {
    const { deadlineAt, answerBy = Infinity } = entry;
    clearTimeout(entry.timer);
    entry.timer = setTimeout(() => {
      releaseCall(key, entry);
      refuse(entry, RefusalReason.NoTime, reportQueue(queue).meanMs);
    }, Math.max(0, Math.min(deadlineAt, answerBy) - now()));
  }

  /** See `Attempt.limitAnswer`. */
  function limitAnswer(key: number, entry: OpenCall, at: MonotonicMs) {
    if (openCalls.get(key) !== entry || entry.run !== undefined) return;
    const answerBy = Math.min(at, entry.answerBy ?? Infinity);
    entry.answerBy = answerBy;
    if (isUpload(entry)) return watchUpload(key, entry);
    const event = { type: "answer-limited", key, answerBy } as const;
    apply(decideQueue(queue, { ...event, now: now() }));
  }

  /**
   * Refuses a call for another service or version: the sender has not received
   * the announcement of the present endpoint yet.
   */
  function refuseMisdirected(key: number, entry: OpenCall, present: Instance) {
    opts.onMisdirected(entry.call, present);
    releaseCall(key, entry);
    refuse(entry, RefusalReason.Misdirected, 0);
  }

  /**
   * Queues the call for a slot, or first requests its body if that is buffered.
   */
  function receive(
    key: number,
    entry: OpenCall,
    received: Omit<AssessCallOptions, "now">,
  ) {
    const { call, answerBy } = entry;
    const queueEntry = answerBy === undefined
      ? received
      : { ...received, call: { ...received.call, answerBy } };
    if (instance !== undefined && !isSameSoftware(call, instance)) {
      return refuseMisdirected(key, entry, instance);
    }
    if (crashesOf(entry) >= CRASHES_TO_REFUSE) {
      releaseCall(key, entry);
      return refuse(entry, RefusalReason.Quarantined, QUARANTINE_RETRY_MS);
    }
    if (!bodyBuffer.fits(call)) {
      const event = { type: "arrived", ...queueEntry, now: now() } as const;
      return apply(decideQueue(queue, event));
    }
    const objectiveAt = queueEntry.call.objectiveAt -
      bodyBuffer.expectedMs(call.route);
    // The deadline is shortened by the wait for an upload slot, not by the time
    // of the upload itself: an average that was measured during a failure must
    // not prevent further attempts on the route.
    const deadlineAt = entry.deadlineAt - bodyBuffer.uploadWaitMs(call.route);
    const shortened = {
      ...queueEntry,
      call: { ...queueEntry.call, objectiveAt, deadlineAt },
    };
    const at = now();
    const { reason, waitMs } = assessCall(queue, { ...shortened, now: at });
    if (reason !== undefined) {
      const runMs = expectedRunMs(queue, shortened.call, at);
      return shed(key, entry, {
        reason,
        waitMs: Math.round(waitMs),
        isOverShare: isOver(queue, shortened.call, runMs),
      });
    }
    watchUpload(key, entry);
    entry.body = bodyBuffer.begin(call, (body) => {
      // This callback may run before `begin` returns.
      entry.body = body;
      entry.onEvent({ type: "admitted" });
    });
  }

  /**
   * Returns the queue's report. Calls whose bodies are being received or wait
   * for an upload slot count as waiting.
   */
  function report(route?: string): QueueReport {
    const { running, waiting, meanMs, routeMs } = reportQueue(queue, route);
    const bodyMs = route === undefined ? 0 : bodyBuffer.expectedMs(route);
    return {
      running,
      waiting: waiting + bodyBuffer.size(),
      meanMs,
      routeMs: routeMs > 0 ? routeMs + Math.round(bodyMs) : 0,
      startsLeft: startsLeft(coldStart, queue.waiting.size, now()),
      pacePercent: pacePercentAt(queue.pace, now()),
    };
  }

  function handleChunk(
    key: number,
    entry: OpenCall,
    queued: QueuedCall,
    chunk: Buffer,
  ) {
    const { body } = entry;
    if (body === undefined || entry.isBuffered) return entry.run?.send(chunk);
    body.add(chunk);
    if (!body.isComplete() || openCalls.get(key) !== entry) return;
    entry.call = { ...entry.call, body: body.bytes() };
    entry.isBuffered = true;
    clearTimeout(entry.timer);
    body.releaseUploadSlot();
    // `mayBeLate`: at another home node the body would have to be sent again.
    receive(key, entry, { call: queued, mayBeLate: true });
  }

  function withdraw(key: number, entry: OpenCall) {
    if (openCalls.get(key) !== entry) return;
    entry.run?.cancel();
    if (entry.run !== undefined) return end(key, entry, false);
    releaseCall(key, entry);
    apply(decideQueue(queue, { type: "withdrawn", key, now: now() }));
  }

  return {
    attempt(call, onEvent): Attempt {
      const key = ++lastKey;
      const at = now();
      const deadlineAt = at + call.leftMs;
      const entry: OpenCall = { call, arrivedAt: at, deadlineAt, onEvent };
      if (endAt < Infinity) entry.answerBy = endAt;
      openCalls.set(key, entry);
      const { route, urgency, isNested, mayBeLate } = call;
      const account = call.account?.name;
      const accountUrgency = call.account?.urgency;
      const { parentUsedMs, deadlineRatio } = call;
      const objectiveAt = at + call.objectiveLeftMs;
      const queued: QueuedCall = {
        key,
        route,
        urgency,
        isNested,
        account,
        accountUrgency,
        lateShare: lateWaitShare(deadlineRatio),
        parentUsedMs,
        arrivedAt: at,
        objectiveAt,
        deadlineAt,
      };
      const queueEntry = { call: queued, mayBeLate };
      // Deferred until everything read in this turn is handled: on an
      // overloaded node, a caller that has left withdraws its call before the
      // endpoint receives it.
      setImmediate(() => {
        if (openCalls.get(key) === entry) receive(key, entry, queueEntry);
      });
      return {
        send: (chunk) => handleChunk(key, entry, queued, chunk),
        finish: () => entry.run?.finish(),
        limitAnswer: (leftMs) => limitAnswer(key, entry, now() + leftMs),
        cancel: () => withdraw(key, entry),
      };
    },
    setInstance(next, reason) {
      clearTimeout(reopener);
      const isSameProcess = next?.id === instance?.id &&
        next?.bornAt === instance?.bornAt;
      const isReplaced = instance !== undefined && next !== undefined &&
        !isSameSoftware(instance, next);
      // Waiting calls were routed to the service and version that were
      // replaced.
      if (isReplaced) gate({ type: "closed", reason: "its software changed" });
      instance = next;
      if (next === undefined) return gate({ type: "closed", reason });
      if (!isSameProcess || pool === undefined) {
        // Answers of an earlier process must not be attributed to calls to this
        // one.
        void pool?.close();
        pool = createEndpointPool({
          address: opts.endpointAddress,
          connections: next.slots + SPARE_CONNECTIONS,
          connector,
        });
      }
      const { coldUntil: until, heardAt: requestedAt } = next;
      decideCold({ type: "stated", until, requestedAt, now: now() });
      openGate();
    },
    setTerms(next) {
      terms = next;
      const perSecond = next?.coldPerSecond;
      decideCold({ type: "terms-changed", perSecond, now: now() });
    },
    recordPing: ({ coldUntil, heardAt }) => recordColdUntil(coldUntil, heardAt),
    invalidateColdTime(reason) {
      decideCold({ type: "invalidated", reason, now: now() });
      if (queue.gate.type === "open") decideCold({ type: "opened" });
    },
    setEvacuated(next) {
      if (next === isEvacuated) return;
      isEvacuated = next;
      if (next) {
        refuseUploads();
        const reason = "the failure domain is evacuated";
        return gate({ type: "closed", reason });
      }
      const reason = "the evacuation of the failure domain ended";
      decideCold({ type: "invalidated", reason, now: now() });
      openGate();
    },
    limitAnswers(at) {
      endAt = at;
      for (const [key, entry] of [...openCalls]) limitAnswer(key, entry, at);
    },
    isRunning: (callId) => running.has(callId),
    runMsOf(callId) {
      const startedAt = running.get(callId)?.startedAt;
      return startedAt === undefined ? 0 : now() - startedAt;
    },
    async askWhetherLeaving() {
      const answer = await askHealth();
      if (answer?.isErr()) opts.onHealthFailed(answer.error);
      if (answer === undefined || answer.isErr()) return undefined;
      const { status, isRejected } = answer.value;
      return isRejected ? undefined : status >= LOWEST_SERVER_ERROR;
    },
    recordLoad,
    deadlineRatioOf: (callId) => running.get(callId)?.call.deadlineRatio,
    recordNestedFailure(callId) {
      const entry = running.get(callId);
      if (entry !== undefined) entry.hasNestedFailure = true;
    },
    report,
    isBusy: () => openCalls.size > 0,
    countCalls: () => ({
      running: queue.running.size,
      waiting: openCalls.size - queue.running.size,
    }),
    async close() {
      clearTimeout(ticker);
      clearTimeout(reopener);
      for (const entry of openCalls.values()) clearTimeout(entry.timer);
      bodyBuffer.close();
      await pool?.close();
    },
  };
}
