/**
 * Serves one request: finds its route and homes, and answers its caller.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { addRequest, spendRetry } from "../retry_budget/spend_retry.ts";
import { type AttemptEnd, decideNext } from "../calls/decide_next.ts";
import { describeEnd } from "../calls/describe_end.ts";
import { retryAfterMs } from "../calls/retry_after.ts";
import {
  type Attempt,
  type AttemptEvent,
  type HeaderList,
  LOWEST_SERVER_ERROR,
  type Refusal,
  RefusedBy,
} from "../calls/state.ts";
import { abortAnswer } from "../core/abort_answer.ts";
import { exhausted } from "../core/exhausted.ts";
import type { NodeId } from "../core/types.ts";
import { LogLevel } from "../logs/create_log.ts";
import { CallResult } from "../metrics/create_metrics.ts";
import type { Choice } from "../load_balancing/choose_candidate.ts";
import {
  ejectHome,
  recordAttempt,
  recordAttemptEnd,
} from "../load_balancing/record_home.ts";
import { RefusalReason } from "../queue/state.ts";
import { pickService } from "../routes/pick_service.ts";
import type { Route } from "../routes/state.ts";
import { Rejection } from "./admit_request.ts";
import { answerLocally, forwardAnswer } from "./answer_caller.ts";
import { createHomeSearch } from "./create_home_search.ts";
import { describeCall, INLINE_BODY_BYTES } from "./describe_call.ts";
import { recordAnswerBytes } from "./find_next_home.ts";
import {
  type BodySink,
  hasBody,
  readBody,
  type RequestBody,
} from "./request_body.ts";
import type { CallContext } from "./state.ts";

/** A home that refused as closed, or was not reached, is left alone so long. */
const shunMs = 250;

/**
 * Part of the aim that passes outside of the node's sight, in milliseconds: the
 * request's way here, the answer's way back, and their sockets' queues.
 */
const deliveryMs = 12;

/** Time after which a caller without any candidate may come back. */
const noHomeWaitMs = 300;

/** Options of `serveCall`. */
export interface ServeCallOptions {
  readonly ctx: CallContext;
  readonly req: IncomingMessage;
  readonly res: ServerResponse;
  readonly id: string;
  readonly route: Route;
  /** Call that made this one, when the endpoint on this VM runs it. */
  readonly parentId: string | undefined;
  /** Time until the caller's deadline or the route's time-out. */
  readonly waitMs: number;
  /** Time that the caller has waited before, in milliseconds. */
  readonly ageMs: number;
  readonly maxBodyBytes: number;
  /** Whether the connection may end behind this answer. */
  readonly mayClose: () => boolean;
  /** Called once, when nothing is left to do for the request. */
  readonly onDone: () => void;
}

/** A request that is being served. */
export interface ServedCall {
  /** The caller's connection is gone. */
  abandon(): void;
  /** The node ends. The call is refused unless a home has been offered it. */
  refuseUnsent(): void;
  /** The node ends and closes the connection before the answer. */
  cut(): void;
}

interface OpenAttempt {
  readonly home: NodeId;
  readonly attempt: Attempt;
  readonly sink: BodySink;
  /** The body follows once the endpoint has a slot. */
  readonly hasLaterBody: boolean;
  /** The endpoint has got the call. */
  hasArrived: boolean;
}

/** Starts serving. */
export function serveCall(opts: ServeCallOptions): ServedCall {
  const { ctx, req, res, id, route, parentId } = opts;
  const isNested = parentId !== undefined;
  const startedAt = ctx.now();
  const deadlineAt = startedAt + opts.waitMs;
  const objectiveAt = startedAt + route.objectiveMs - opts.ageMs - deliveryMs;
  const service = pickService(ctx.routes, route);
  const headers = ctx.dialect.sentHeaders(req.rawHeaders);
  const search = createHomeSearch({ ctx, service, route });
  const attempts = new Set<OpenAttempt>();
  let offers = 0;
  let arrivals = 0;
  let mayHaveRun = false;
  let wasFull = false;
  let isHedged = false;
  let leastWaitMs = Infinity;
  let firstOfferAt = startedAt;
  let lastOfferAt = startedAt;
  let isDone = false;
  let streaming: OpenAttempt | undefined;
  const deadline = setTimeout(expire, Math.max(0, deadlineAt - startedAt));
  if (!isNested) addRequest(ctx.budget, ctx.budgetTerms(), service, startedAt);

  const body = !hasBody(req) ? undefined : readBody({
    req,
    maxBytes: opts.maxBodyBytes,
    onWhole() {
      if (offers === 0) offer(false);
    },
    onTooLarge() {
      giveUp(413, "the body is too large");
      req.destroy();
    },
  });
  const isSmall = (body?.announcedBytes ?? Infinity) <= INLINE_BODY_BYTES;
  // A body that follows the offer is not waited for.
  if (body === undefined || !isSmall) offer(false);

  function offer(mayBeLate: boolean): void {
    if (isDone) return;
    // A home that refused a late answer may still be the best for one.
    if (mayBeLate) search.welcomeLate();
    const found = findHome();
    if (found !== undefined) {
      if (offers === 0) wasFull = found.isFull;
      return offerTo(found.home, mayBeLate);
    }
    if (!mayBeLate && search.welcomeLate()) return offer(true);
    if (attempts.size > 0) return;
    const reason = offers === 0
      ? "no endpoint is known"
      : "no endpoint is left";
    if (!Number.isFinite(leastWaitMs)) leastWaitMs = noHomeWaitMs;
    giveUp(mayHaveRun ? 502 : 503, reason);
  }

  function findHome(): Choice | undefined {
    const objectiveLeftMs = objectiveAt - ctx.now();
    return search.find({ bodyBytes: bytesOf(body), objectiveLeftMs });
  }

  function offerTo(node: NodeId, mayBeLate: boolean): void {
    search.noteTried(node);
    const home = ctx.homes.homeOf(node);
    if (home === undefined) return offer(mayBeLate);
    offers++;
    lastOfferAt = ctx.now();
    if (offers === 1) firstOfferAt = lastOfferAt;
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
    });
    const attempt = home.attempt(call, (event) => take(open, event));
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
  }

  function take(open: OpenAttempt, event: AttemptEvent) {
    if (isDone || (open !== streaming && !attempts.has(open))) return;
    switch (event.type) {
      case "admitted":
        if (open.hasLaterBody) body?.pipe(open.sink);
        return;
      case "overdue":
        arrive(open);
        return hedge();
      case "refused":
        if (event.refusal.by === RefusedBy.Endpoint) arrive(open);
        close(open, event.refusal.by !== RefusedBy.Home);
        return takeRefusal(open, event.refusal);
      case "failed":
        arrive(open);
        if (streaming === open) return breakOff(event.failure.reason);
        close(open, true);
        mayHaveRun = true;
        if (attempts.size > 0) return;
        return follow({ type: "failed", failure: event.failure });
      case "answered":
        arrive(open);
        return takeAnswer(open, event.head, event.body);
      case "chunk":
        if (streaming === open) res.write(event.chunk);
        return;
      case "ended":
        if (streaming === open) finish(CallResult.Served, 200);
        return;
      default:
        exhausted(event);
    }
  }

  /** The endpoint has got the call. */
  function arrive(open: OpenAttempt) {
    if (!open.hasArrived) arrivals++;
    open.hasArrived = true;
  }

  function takeRefusal(open: OpenAttempt, refusal: Refusal) {
    ctx.metrics.countRefusal(refusal.reason);
    leastWaitMs = Math.min(leastWaitMs, refusal.waitMs);
    if (refusal.reason === RefusalReason.Late) search.noteLate(open.home);
    if (refusal.reason === RefusalReason.Misdirected) ctx.verifyHome(open.home);
    const isAway = refusal.reason === RefusalReason.Closed ||
      refusal.by === RefusedBy.Link;
    if (isAway) ejectHome(ctx.loadBalancing, open.home, ctx.now() + shunMs);
    if (attempts.size > 0) return;
    follow({ type: "refused", refusal });
  }

  function takeAnswer(
    open: OpenAttempt,
    head: { status: number; headers: HeaderList },
    whole: Buffer | undefined,
  ) {
    const isFailed = head.status >= LOWEST_SERVER_ERROR;
    close(open, isFailed);
    if (isFailed) {
      mayHaveRun = true;
      // The other attempt may still bring a better answer.
      if (attempts.size > 0) return;
      const step = next({ type: "answered", head });
      if (step.type === "offer") {
        open.attempt.cancel();
        return offer(step.mayBeLate);
      }
    }
    if (whole !== undefined) recordAnswerBytes(ctx, route, whole.length);
    if (opts.mayClose()) res.shouldKeepAlive = false;
    forwardAnswer(res, ctx.dialect, head, whole);
    if (whole !== undefined) {
      const result = isFailed ? CallResult.EndpointFailed : CallResult.Served;
      return finish(result, head.status);
    }
    streaming = open;
  }

  function follow(end: AttemptEnd) {
    const step = next(end);
    switch (step.type) {
      case "offer":
        return offer(step.mayBeLate);
      case "give-up":
        return giveUp(step.status, describeEnd(end));
      case "pass-on":
        throw new TypeError("only answers are passed on");
      default:
        exhausted(step);
    }
  }

  function next(end: AttemptEnd) {
    return decideNext({
      end,
      isIdempotent: route.isIdempotent,
      offers,
      arrivals,
      maxArrivals: route.maxAttempts,
      mayHaveRun,
      wasFull,
      leftMs: deadlineAt - ctx.now(),
      canResend: body?.canResend() ?? true,
      spend,
    });
  }

  function spend(hasRun: boolean): boolean {
    const isSpent = spendRetry(ctx.budget, {
      terms: ctx.budgetTerms(),
      service,
      nodes: ctx.fleet.linked.size + 1,
      hasRun,
      now: ctx.now(),
    });
    if (isSpent) ctx.metrics.countRepeat(service);
    return isSpent;
  }

  /** A second attempt beside one that hangs, for a call that may run twice. */
  function hedge() {
    const mayHedge = route.isIdempotent && !isHedged &&
      arrivals < route.maxAttempts && (body?.canResend() ?? true) &&
      ctx.now() < deadlineAt;
    if (!mayHedge || findHome() === undefined || !spend(true)) return;
    isHedged = true;
    log(LogLevel.Info, "call repeated while it hangs");
    offer(false);
  }

  /** Ends an attempt's part in the bookkeeping. */
  function close(open: OpenAttempt, isFailed: boolean) {
    attempts.delete(open);
    body?.unpipe(open.sink);
    recordAttemptEnd(ctx.loadBalancing, open.home, isFailed, ctx.now());
  }

  function expire() {
    if (isDone || streaming !== undefined) return;
    // A home's word is missing, so nobody knows whether the call has run.
    giveUp(attempts.size > 0 || mayHaveRun ? 504 : 503, "its time is over");
  }

  function giveUp(status: number, reason: string) {
    if (isDone) return;
    const leftMs = deadlineAt - ctx.now();
    const retryMs = retryAfterMs({
      waitMs: Number.isFinite(leastWaitMs) ? leastWaitMs : noHomeWaitMs,
      leftMs,
      random: ctx.random(),
    });
    const isNotRun = status === 503;
    const headers = isNotRun ? ctx.dialect.refusalHeaders(id, retryMs) : {};
    if (opts.mayClose()) res.shouldKeepAlive = false;
    answerLocally(res, { status, headers, reason });
    log(LogLevel.Warn, isNotRun ? "call refused" : "call failed", {
      status,
      reason,
      ...(isNotRun ? { retryMs: Math.round(retryMs) } : {}),
    });
    finish(isNotRun ? CallResult.NotRun : CallResult.Unknown, status);
  }

  /** The answer is cut: its end must not look like the answer's own. */
  function breakOff(reason: string) {
    log(LogLevel.Warn, "answer cut", { reason });
    abortAnswer(res);
    finish(CallResult.Unknown, 0);
  }

  function finish(result: CallResult, status: number) {
    if (isDone) return;
    isDone = true;
    clearTimeout(deadline);
    const isLost = result === CallResult.Unknown;
    if (isNested && isFailure(result)) ctx.excuseRun(parentId);
    for (const open of attempts) {
      open.attempt.cancel();
      close(open, isLost);
    }
    body?.close();
    if (streaming !== undefined && result === CallResult.Served) res.end();
    else streaming?.attempt.cancel();
    const tookMs = ctx.now() - startedAt;
    ctx.metrics.countCall(route.name, result, tookMs);
    if (
      result === CallResult.Served && tookMs > route.objectiveMs - opts.ageMs
    ) {
      log(LogLevel.Info, "call late", {
        aimMs: route.objectiveMs,
        ageMs: Math.round(opts.ageMs),
        firstOfferMs: Math.round(firstOfferAt - startedAt),
        lastOfferMs: Math.round(lastOfferAt - startedAt),
        lagMs: Math.round(ctx.lagMs()),
      });
    }
    if (result === CallResult.EndpointFailed) {
      log(LogLevel.Warn, "endpoint failed the call", { status });
    }
    opts.onDone();
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
    refuseUnsent() {
      if (offers === 0) giveUp(503, Rejection.Stopping);
    },
    cut() {
      if (isDone) return;
      log(LogLevel.Error, "call cut by the stop", {
        idempotent: route.isIdempotent,
        leftMs: Math.round(deadlineAt - ctx.now()),
        bodyBytes: body?.size() ?? 0,
        isStreaming: streaming !== undefined,
      });
      if (streaming !== undefined) abortAnswer(res);
      finish(CallResult.Unknown, 0);
    },
  };
}

/** Whether the caller was left without what it asked for. */
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
  return body?.announcedBytes ?? body?.size() ?? 0;
}
