/**
 * Serves one request: sends it to home nodes and answers the caller.
 *
 * The home node of an endpoint is the node on the same VM, the only one that
 * opens connections to it. An attempt is one call sent to a home node, which
 * may refuse it.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { type KeyCheck, KeyFault } from "../accounts/check_key.ts";
import type { CallAccount } from "../accounts/state.ts";
import { addRequest, spendRetry } from "../retry_budget/spend_retry.ts";
import { type AttemptEnd, decideNext } from "../calls/decide_next.ts";
import { describeEnd } from "../calls/describe_end.ts";
import { retryAfterMs } from "../calls/retry_after.ts";
import {
  type Attempt,
  type AttemptEvent,
  type HeaderList,
  LOWEST_SERVER_ERROR,
  MAX_UNSENT_ANSWER_BYTES,
  type Refusal,
  RefusedBy,
} from "../calls/state.ts";
import { abortAnswer } from "../core/abort_answer.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { countLive } from "../fleet/state.ts";
import { LogLevel } from "../logs/create_log.ts";
import { CallResult } from "../metrics/create_metrics.ts";
import type { Choice } from "../load_balancing/choose_candidate.ts";
import {
  ejectHome,
  recordAttempt,
  recordAttemptEnd,
} from "../load_balancing/record_home.ts";
import {
  CRASHES_TO_REFUSE,
  QUARANTINE_RETRY_MS,
} from "../quarantine/crash_chain.ts";
import { RefusalReason } from "../queue/state.ts";
import { pickService } from "../routes/pick_service.ts";
import type { Route, RouteTable } from "../routes/state.ts";
import { Rejection } from "./admit_request.ts";
import { answerLocally, forwardAnswer } from "./answer_caller.ts";
import { createHomeSearch } from "./create_home_search.ts";
import {
  describeFault,
  describeKeyRefusal,
  type KeyRefusal,
} from "./describe_key_refusal.ts";
import {
  describeCall,
  describeChecked,
  INLINE_BODY_BYTES,
} from "./describe_call.ts";
import { recordAnswerBytes } from "./find_next_home.ts";
import {
  type BodySink,
  hasBody,
  readBody,
  type RequestBody,
} from "./request_body.ts";
import type { CallContext } from "./state.ts";

/**
 * Time for which a home is ejected after it refused as closed or was not
 * reached.
 */
const EJECT_MS = 250;

/**
 * Part of the latency objective that the node can't measure, in milliseconds:
 * the network time of the request to the node and of the answer to the caller,
 * and the time that both spend in socket buffers.
 */
const DELIVERY_MS = 12;

/** Retry delay for a call that has no candidate, in milliseconds. */
const NO_HOME_WAIT_MS = 300;

/** Time that a call waits for a link to a home that is being opened. */
const LINK_WAIT_MS = 100;

/**
 * Time after the deadline in which an answer that is being forwarded may end, in
 * milliseconds. The home node ends it earlier, unless it is silent.
 */
const STREAM_GRACE_MS = 200;

/** Options of `serveCall`. */
export interface ServeCallOptions {
  readonly ctx: CallContext;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly route: Route;
  /** Client account of the call, if it has one. */
  readonly account: CallAccount | undefined;
  /** Route table that the key was checked with. It may have been replaced. */
  readonly checkedTable: RouteTable;
  /** Checks the call's API key by the route table in force. */
  readonly recheckKey: () => KeyCheck;
  /** Id of the parent call, if the endpoint on this VM runs it. */
  readonly parentId: string | undefined;
  /** Time to the caller's deadline or the route's timeout, in milliseconds. */
  readonly waitMs: number;
  /** Time that the caller has already waited, in milliseconds. */
  readonly ageMs: number;
  /** See `OfferedCall.deadlineRatio`. */
  readonly deadlineRatio: number | undefined;
  /**
   * When this node can no longer forward an answer. Infinity while it is not
   * shutting down.
   */
  readonly answerBy: () => MonotonicMs;
  readonly maxBodyBytes: number;
  /** Whether the connection may be closed after this answer. */
  readonly mayClose: () => boolean;
  /**
   * Called once, when the request is finished. `isUnsent` is true if it is
   * certain not to have reached an endpoint.
   */
  readonly onDone: (isUnsent: boolean) => void;
}

/** A request that is being served. */
export interface ServedCall {
  /** Ends the call after the caller's connection was closed. */
  abandon(): void;
  /**
   * Tells the home nodes when this node ends, once a shutdown has begun. They
   * refuse the call, as not run, unless they can run it by then.
   */
  limitAnswer(): void;
  /** Refuses the call on shutdown, unless it was sent to a home node. */
  refuseUnsent(): void;
  /**
   * Refuses the call if the new route table lacks its API key, unless it was
   * sent to a home node.
   */
  recheckUnsent(): void;
  /**
   * Ends the call on shutdown, before its connection is closed. It is not known
   * whether it has run.
   */
  abort(): void;
}

interface OpenAttempt {
  readonly home: NodeId;
  readonly attempt: Attempt;
  readonly sink: BodySink;
  /** Whether the body is sent only after the home node admits the call. */
  readonly hasLaterBody: boolean;
  /** Whether the call has reached the endpoint. */
  hasArrived: boolean;
}

/** The wait for a link to a home of the service, before the first attempt. */
type LinkWait =
  | { readonly type: "unused" }
  | {
    readonly type: "open";
    readonly cancel: () => void;
    readonly timer: NodeJS.Timeout;
  }
  | { readonly type: "over" };

/** Starts serving a request. A small body is read before the first attempt. */
export function serveCall(opts: ServeCallOptions): ServedCall {
  const { ctx, req, res, id, route, parentId } = opts;
  const isNested = parentId !== undefined;
  const startedAt = ctx.now();
  const deadlineAt = startedAt + opts.waitMs;
  const objectiveAt = startedAt + route.objectiveMs - opts.ageMs - DELIVERY_MS;
  const service = pickService(ctx.routes, route);
  /** Route table by which the API key was last checked. */
  let checkedTable: RouteTable | undefined = opts.checkedTable;
  let { account } = opts;
  let headers = readHeaders();
  const search = createHomeSearch({ ctx, service, route });
  const attempts = new Set<OpenAttempt>();
  /** Number of home nodes that the call was sent to. */
  let offers = 0;
  /** Number of endpoints that the call has reached. */
  let arrivals = 0;
  let mayHaveRun = false;
  /**
   * Number of endpoints that crashed one after the other while they ran this
   * request.
   */
  let crashes = 0;
  let wasFull = false;
  let isHedged = false;
  let minWaitMs = Infinity;
  let firstAttemptAt = startedAt;
  let lastAttemptAt = startedAt;
  let isDone = false;
  let streaming: OpenAttempt | undefined;
  let graceTimer: NodeJS.Timeout | undefined;
  let linkWait: LinkWait = { type: "unused" };
  const deadline = setTimeout(
    handleDeadline,
    Math.max(0, deadlineAt - startedAt),
  );
  if (!isNested) addRequest(ctx.budget, ctx.budgetTerms(), service, startedAt);

  const body = !hasBody(req) ? undefined : readBody({
    req,
    maxBytes: opts.maxBodyBytes,
    onComplete: attemptFirst,
    onTooLarge() {
      giveUp(413, "the body is too large");
      req.destroy();
    },
  });
  const isSmall = (body?.declaredBytes ?? Infinity) <= INLINE_BODY_BYTES;
  // A larger body is sent after the admission, so the attempt does not wait for
  // it.
  if (body === undefined || !isSmall) attemptFirst();

  /**
   * Makes the first attempt. The end of the body and the end of the wait for a
   * link each call this, in any order; only one of them may start an attempt.
   */
  function attemptFirst() {
    if (offers === 0) attemptNext(false);
  }

  function attemptNext(mayBeLate: boolean, onlyFree = false): void {
    if (isDone) return;
    if (ctx.now() >= opts.answerBy()) {
      if (attempts.size > 0) return;
      return giveUp(mayHaveRun ? 502 : 503, Rejection.Stopping);
    }
    if (isQuarantined()) {
      if (attempts.size > 0) return;
      minWaitMs = QUARANTINE_RETRY_MS;
      ctx.metrics.countRefusal(RefusalReason.Quarantined);
      return giveUp(mayHaveRun ? 502 : 503, "it crashed endpoints");
    }
    // A home that refused because of a late answer may still be the best choice
    // when a late answer is acceptable.
    if (mayBeLate) search.allowLateAnswers();
    const found = findHome(onlyFree);
    if (found !== undefined) {
      if (offers === 0) wasFull = found.isFull;
      return sendTo(found.home, mayBeLate || found.mayBeLate, onlyFree);
    }
    if (!mayBeLate && search.allowLateAnswers()) return attemptNext(true);
    if (attempts.size > 0 || waitForLink()) return;
    const reason = offers === 0
      ? "no endpoint is known"
      : onlyFree
      ? "no endpoint is free"
      : "no endpoint is left";
    if (!Number.isFinite(minWaitMs)) minWaitMs = NO_HOME_WAIT_MS;
    giveUp(mayHaveRun ? 502 : 503, reason);
  }

  /** Whether the request crashed the endpoints that ran it. */
  function isQuarantined(): boolean {
    const known = ctx.countCrashes(
      req.url ?? "/",
      () => describeChecked({ ctx, req, service, body }),
    );
    crashes = Math.max(crashes, known);
    return crashes >= CRASHES_TO_REFUSE;
  }

  /**
   * Waits once for a link to a home, if one is being opened. Returns false if
   * none is expected, or if the wait is over.
   */
  function waitForLink(): boolean {
    switch (linkWait.type) {
      case "open":
        return true;
      case "over":
        return false;
      case "unused": {
        const cancel = ctx.awaitHome(service, endLinkWait);
        if (cancel === undefined) return false;
        const timer = setTimeout(endLinkWait, LINK_WAIT_MS);
        linkWait = { type: "open", cancel, timer };
        return true;
      }
      default:
        return exhausted(linkWait);
    }
  }

  function endLinkWait() {
    closeLinkWait();
    attemptFirst();
  }

  function closeLinkWait() {
    if (linkWait.type === "open") {
      linkWait.cancel();
      clearTimeout(linkWait.timer);
    }
    linkWait = { type: "over" };
  }

  function findHome(onlyFree: boolean): Choice | undefined {
    const now = ctx.now();
    return search.find({
      bodyBytes: bytesOf(body),
      objectiveLeftMs: objectiveAt - now,
      deadlineLeftMs: deadlineAt - now,
      deadlineRatio: opts.deadlineRatio,
      onlyFree,
    });
  }

  function readHeaders(): HeaderList {
    const isAccountSet = checkedTable?.accounts !== undefined;
    return ctx.dialect.sentHeaders(req.rawHeaders, isAccountSet);
  }

  /**
   * Checks the API key again if the route table was replaced. Returns false if
   * the call must not be sent; it is then refused, unless an attempt is open.
   */
  function checkAgain(): boolean {
    const { table } = ctx.routes;
    if (table === checkedTable) return true;
    // The parent of a nested call may have ended, which revokes nothing.
    if (!isNested) {
      const check = opts.recheckKey();
      const refusal = describeKeyRefusal(check);
      if (refusal !== undefined) {
        if (attempts.size === 0) refuseForKey(refusal);
        return false;
      }
      account = check.type === "account" ? check.account : undefined;
    }
    checkedTable = table;
    headers = readHeaders();
    return true;
  }

  function refuseForKey({ status, reason, fault }: KeyRefusal) {
    const wasKnown = fault !== undefined && account !== undefined;
    const actual = wasKnown ? KeyFault.Revoked : fault;
    if (actual !== undefined) ctx.metrics.countKeyRefusal(actual);
    const text = actual === undefined ? reason : describeFault(actual);
    giveUp(mayHaveRun ? 502 : status, text);
  }

  function sendTo(node: NodeId, mayBeLate: boolean, onlyFree: boolean): void {
    if (!checkAgain()) return;
    search.recordTried(node);
    const home = ctx.homes.homeOf(node);
    if (home === undefined) return attemptNext(mayBeLate, onlyFree);
    closeLinkWait();
    offers++;
    lastAttemptAt = ctx.now();
    if (offers === 1) firstAttemptAt = lastAttemptAt;
    recordAttempt(ctx.loadBalancing, node);
    const call = describeCall({
      ctx,
      req,
      id,
      headers,
      service,
      route,
      isNested,
      body,
      node,
      deadlineAt,
      objectiveAt,
      mayBeLate,
      crashes,
      account,
      parentId,
      deadlineRatio: opts.deadlineRatio,
      isRetry: offers > 1,
    });
    const attempt = home.attempt(call, (event) => handleEvent(open, event));
    const sink = {
      send: (chunk: Buffer) => attempt.send(chunk),
      finish: () => attempt.finish(),
    };
    const open: OpenAttempt = {
      home: node,
      attempt,
      sink,
      hasLaterBody: call.body === undefined,
      hasArrived: false,
    };
    attempts.add(open);
    limitAttempt(open);
  }

  function limitAttempt({ attempt }: OpenAttempt) {
    const leftMs = opts.answerBy() - ctx.now();
    if (leftMs < Infinity) attempt.limitAnswer(leftMs);
  }

  function handleEvent(open: OpenAttempt, event: AttemptEvent) {
    if (isDone || (open !== streaming && !attempts.has(open))) return;
    switch (event.type) {
      case "admitted":
        if (open.hasLaterBody) body?.pipe(open.sink);
        return;
      case "overdue":
        recordArrival(open);
        // Once a head is written, no other answer can take its place.
        return streaming === undefined ? hedge() : undefined;
      case "refused":
        if (streaming !== undefined) return;
        if (event.refusal.by === RefusedBy.Endpoint) recordArrival(open);
        closeAttempt(open, event.refusal.by !== RefusedBy.Home);
        return handleRefusal(open, event.refusal);
      case "failed":
        recordArrival(open);
        if (streaming === open) return abortStreaming(event.failure.reason);
        closeAttempt(open, true);
        mayHaveRun = true;
        crashes = Math.max(crashes, event.failure.crashes);
        if (attempts.size > 0) return;
        return handleEnd({ type: "failed", failure: event.failure });
      case "answered":
        if (streaming !== undefined) return;
        recordArrival(open);
        return handleAnswer(open, event.head, event.body);
      case "chunk":
        if (streaming !== open) return;
        if (ctx.unsentBytes() > MAX_UNSENT_ANSWER_BYTES) {
          return abortStreaming("too many bytes of answers are unread");
        }
        res.write(event.chunk);
        return;
      case "ended":
        if (streaming === open) finish(CallResult.Served, 200);
        return;
      default:
        exhausted(event);
    }
  }

  /** Records that the call has reached the endpoint. */
  function recordArrival(open: OpenAttempt) {
    if (!open.hasArrived) arrivals++;
    open.hasArrived = true;
  }

  function handleRefusal(open: OpenAttempt, refusal: Refusal) {
    ctx.metrics.countRefusal(refusal.reason);
    minWaitMs = Math.min(minWaitMs, refusal.waitMs);
    if (refusal.reason === RefusalReason.Late) search.recordLate(open.home);
    if (refusal.reason === RefusalReason.Misdirected) ctx.verifyHome(open.home);
    if (refusal.reason === RefusalReason.Revoked) {
      ctx.metrics.countKeyRefusal(KeyFault.Revoked);
    }
    const isDown = refusal.reason === RefusalReason.Closed ||
      refusal.by === RefusedBy.Link;
    if (isDown) ejectHome(ctx.loadBalancing, open.home, ctx.now() + EJECT_MS);
    if (attempts.size > 0) return;
    handleEnd({ type: "refused", refusal });
  }

  function handleAnswer(
    open: OpenAttempt,
    head: { status: number; headers: HeaderList },
    fullBody: Buffer | undefined,
  ) {
    const isFailed = head.status >= LOWEST_SERVER_ERROR;
    closeAttempt(open, isFailed);
    if (isFailed) {
      mayHaveRun = true;
      // The other attempt may still succeed.
      if (attempts.size > 0) return;
      const step = decideNextStep({ type: "answered", head });
      if (step.type === "attempt") {
        open.attempt.cancel();
        return attemptNext(step.mayBeLate, step.onlyFree);
      }
    }
    for (const other of attempts) {
      other.attempt.cancel();
      closeAttempt(other, false);
    }
    if (fullBody !== undefined) recordAnswerBytes(ctx, route, fullBody.length);
    if (opts.mayClose()) res.shouldKeepAlive = false;
    forwardAnswer(res, ctx.dialect, head, fullBody);
    if (fullBody !== undefined) {
      const result = isFailed ? CallResult.EndpointFailed : CallResult.Served;
      return finish(result, head.status);
    }
    streaming = open;
  }

  function handleEnd(end: AttemptEnd) {
    const step = decideNextStep(end);
    switch (step.type) {
      case "attempt":
        return attemptNext(step.mayBeLate, step.onlyFree);
      case "give-up":
        return giveUp(step.status, describeEnd(end));
      case "forward":
        throw new TypeError("only answers are passed on");
      default:
        exhausted(step);
    }
  }

  function decideNextStep(end: AttemptEnd) {
    return decideNext({
      end,
      isIdempotent: route.isIdempotent,
      offers,
      arrivals,
      maxArrivals: route.maxAttempts,
      mayHaveRun,
      wasFull,
      deadlineRatio: opts.deadlineRatio,
      leftMs: deadlineAt - ctx.now(),
      canResend: body?.canResend() ?? true,
      spend,
    });
  }

  function spend(hasRun: boolean): boolean {
    const isSpent = spendRetry(ctx.budget, {
      terms: ctx.budgetTerms(),
      service,
      nodes: countLive(ctx.fleet),
      hasRun,
      now: ctx.now(),
    });
    if (isSpent) ctx.metrics.countRetry(service);
    return isSpent;
  }

  /**
   * Starts a second attempt while the first is overdue, if the call may run
   * twice.
   */
  function hedge() {
    const mayHedge = route.isIdempotent && !isHedged &&
      arrivals < route.maxAttempts && (body?.canResend() ?? true) &&
      ctx.now() < deadlineAt;
    if (!mayHedge || findHome(false) === undefined || !spend(true)) return;
    isHedged = true;
    log(LogLevel.Info, "call hedged: first attempt is overdue");
    attemptNext(false);
  }

  /** Stops tracking an attempt and records its end for load balancing. */
  function closeAttempt(open: OpenAttempt, isFailed: boolean) {
    attempts.delete(open);
    body?.unpipe(open.sink);
    recordAttemptEnd(ctx.loadBalancing, open.home, isFailed, ctx.now());
  }

  function handleDeadline() {
    if (isDone) return;
    // The home node ends a run at its deadline, but may be silent.
    if (streaming !== undefined) {
      graceTimer = setTimeout(
        () => abortStreaming("its time is over"),
        STREAM_GRACE_MS,
      );
      return;
    }
    // With an attempt still open, it is unknown whether the call has run.
    giveUp(attempts.size > 0 || mayHaveRun ? 504 : 503, "its time is over");
  }

  function giveUp(status: number, reason: string) {
    if (isDone) return;
    if (streaming !== undefined) return abortStreaming(reason);
    const leftMs = deadlineAt - ctx.now();
    const retryMs = retryAfterMs({
      waitMs: Number.isFinite(minWaitMs) ? minWaitMs : NO_HOME_WAIT_MS,
      leftMs,
      random: ctx.random(),
    });
    const mayRetry = status === 503;
    const isNotRun = mayRetry || status === 401;
    const headers = mayRetry ? ctx.dialect.refusalHeaders(id, retryMs) : {};
    if (opts.mayClose()) res.shouldKeepAlive = false;
    answerLocally(res, { status, headers, reason });
    log(LogLevel.Warn, isNotRun ? "call refused" : "call failed", {
      status,
      reason,
      ...(mayRetry ? { retryMs: Math.round(retryMs) } : {}),
    });
    finish(isNotRun ? CallResult.NotRun : CallResult.Unknown, status);
  }

  /**
   * Aborts a partly sent answer, so that the caller does not treat it as
   * complete.
   */
  function abortStreaming(reason: string) {
    log(LogLevel.Warn, "answer aborted: not completely received", { reason });
    abortAnswer(res);
    finish(CallResult.Unknown, 0);
  }

  function finish(result: CallResult, status: number) {
    if (isDone) return;
    isDone = true;
    clearTimeout(deadline);
    clearTimeout(graceTimer);
    closeLinkWait();
    const isLost = result === CallResult.Unknown;
    if (isNested && isFailure(result)) ctx.recordNestedFailure(parentId);
    for (const open of attempts) {
      open.attempt.cancel();
      closeAttempt(open, isLost);
    }
    body?.close();
    if (streaming !== undefined && result === CallResult.Served) res.end();
    else streaming?.attempt.cancel();
    const tookMs = ctx.now() - startedAt;
    ctx.metrics.countCall(route.name, result, tookMs);
    if (
      result === CallResult.Served && tookMs > route.objectiveMs - opts.ageMs
    ) {
      log(LogLevel.Info, "call answered past its latency objective", {
        aimMs: route.objectiveMs,
        ageMs: Math.round(opts.ageMs),
        firstOfferMs: Math.round(firstAttemptAt - startedAt),
        lastOfferMs: Math.round(lastAttemptAt - startedAt),
        deadlineRatio: opts.deadlineRatio?.toFixed(1),
        lagMs: Math.round(ctx.lagMs()),
      });
    }
    if (result === CallResult.EndpointFailed) {
      log(LogLevel.Warn, "endpoint answered with a server error", { status });
    }
    const isNotRun = result === CallResult.NotRun && arrivals === 0;
    opts.onDone(offers === 0 || isNotRun);
  }

  function log(
    level: LogLevel,
    text: string,
    fields: Record<string, unknown> = {},
  ) {
    ctx.log.write("call", level, text, {
      id,
      route: route.name,
      service,
      homes: search.tried(),
      offers,
      arrivals,
      tookMs: Math.round(ctx.now() - startedAt),
      table: ctx.routes.table?.version,
      ...fields,
    });
  }

  return {
    abandon: () => finish(CallResult.Left, 0),
    limitAnswer() {
      for (const open of attempts) limitAttempt(open);
    },
    refuseUnsent() {
      if (offers === 0) giveUp(503, Rejection.Stopping);
    },
    recheckUnsent() {
      if (offers === 0 && !isDone) checkAgain();
    },
    abort() {
      if (isDone) return;
      log(LogLevel.Error, "call aborted by shutdown", {
        idempotent: route.isIdempotent,
        leftMs: Math.round(deadlineAt - ctx.now()),
        bodyBytes: body?.size() ?? 0,
        isStreaming: streaming !== undefined,
      });
      // An answer tells the caller more than a closed connection does.
      if (streaming === undefined) return giveUp(502, Rejection.Stopping);
      abortAnswer(res);
      finish(CallResult.Unknown, 0);
    },
  };
}

/** Whether the call counts as a failed nested call of its parent call. */
function isFailure(result: CallResult): boolean {
  switch (result) {
    case CallResult.EndpointFailed:
    case CallResult.NotRun:
    case CallResult.Unknown:
    case CallResult.NoRoute:
      return true;
    case CallResult.Served:
    case CallResult.Left:
      return false;
    default:
      return exhausted(result);
  }
}

function bytesOf(body: RequestBody | undefined): number {
  return body?.declaredBytes ?? body?.size() ?? 0;
}
