/**
 * The HTTP server for requests of clients and of the endpoint on this VM.
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import { checkKey, Parent } from "../accounts/check_key.ts";
import type { MonotonicMs } from "../core/types.ts";
import { LogLevel } from "../logs/create_log.ts";
import { CallResult } from "../metrics/create_metrics.ts";
import { findRoute } from "../routes/find_route.ts";
import type { ClientLimits, Route } from "../routes/state.ts";
import { retryAfterMs } from "../calls/retry_after.ts";
import type { ShutdownState } from "../shutdown/state.ts";
import type { CallerHead } from "../sidecar/platform_port.ts";
import { admitRequest, Rejection } from "./admit_request.ts";
import { answerLocally } from "./answer_caller.ts";
import { createAcceptMeter } from "./create_accept_meter.ts";
import { describeKeyRefusal, type KeyRefusal } from "./describe_key_refusal.ts";
import { deadlineRatioOf } from "./deadline_ratio_of.ts";
import { estimateAgeMs } from "./estimate_age.ts";
import { isNestedCall } from "./is_nested_call.ts";
import { serveCall, type ServedCall } from "./serve_call.ts";
import type { CallContext } from "./state.ts";
import { waitForToken } from "./wait_for_token.ts";

/**
 * Limit on the size of a request's head. Node.js takes this limit when the
 * server is created, before the first route table brings the limits set by
 * operators.
 */
const MAX_HEAD_BYTES = 65_536;

/**
 * Retry delay for requests that arrive before the first route table, or before
 * their parent call is known to run here.
 */
const NOT_KNOWN_RETRY_MS = 200;

/** Time that idle connections are kept beyond the limit in the route table. */
const IDLE_SLACK_MS = 500;

/**
 * If the first request is read within this time after the connection was
 * accepted, it is assumed to have been sent along with the connection and to
 * have waited with it, in milliseconds. The lag of the event loop is added.
 */
const PROMPT_REQUEST_MS = 50;

/** Options of `createCallerServer`. */
export interface CreateCallerServerOptions {
  readonly ctx: CallContext;
}

export interface CallerServer {
  readonly server: Server;
  setLimits(limits: ClientLimits): void;
  /**
   * From now on, closes each connection after its newest request, and has calls
   * refused that home nodes can't run before this node ends.
   */
  drain(state: ShutdownState): void;
  /** Refuses the requests that have not been sent to any home node yet. */
  refuseUnsentCalls(): void;
  /**
   * Refuses the requests whose API keys the new route table lacks, unless they
   * have been sent to a home node.
   */
  recheckUnsentCalls(): void;
  /** Number of requests whose answers are not completely sent. */
  open(): number;
  /** Bytes of answers that callers have not read yet. */
  unsentBytes(): number;
  /** Aborts the remaining calls and closes all connections. */
  close(): void;
}

/** When a connection was accepted. */
interface Arrival {
  readonly acceptedAt: MonotonicMs;
  /**
   * Longest time that the connection may have waited to be accepted, in
   * milliseconds.
   */
  readonly queuedMs: number;
}

/** Open requests of one connection. */
interface Connection {
  readonly calls: Set<ServedCall>;
  /** Answers that are not written, or not completely sent. */
  readonly unsent: Set<ServerResponse>;
  /** Answer of the newest request; it is sent last. */
  latest: ServerResponse;
}

/** Creates the server. The caller of this function makes it listen. */
export function createCallerServer(
  opts: CreateCallerServerOptions,
): CallerServer {
  const { ctx } = opts;
  const connections = new Map<Socket, Connection>();
  const accepts = createAcceptMeter(ctx);
  /** Arrivals of the connections whose first request has not been read. */
  const arrivals = new WeakMap<Socket, Arrival>();
  let stop: ShutdownState | undefined;
  let unsent = 0;

  function handleRequest(req: IncomingMessage, res: ServerResponse) {
    const connection = connections.get(req.socket) ?? watch(req.socket, res);
    const caller = ctx.dialect.readCaller(req.headers, req.rawHeaders);
    // The previous answer closes the connection, so the caller sends this
    // request again on a new connection.
    if (isClosing(connection.latest)) {
      req.resume();
      ctx.log.write(
        "call",
        LogLevel.Info,
        "request ignored: connection is closing",
        {
          id: caller?.id,
        },
      );
      return;
    }
    trackAnswer(connection, res);
    const { table } = ctx.routes;
    if (caller === undefined) {
      return refuse(req, res, 400, "the request has no id");
    }
    const hasParentHere = isNestedCall(caller, ctx.isRunningHere);
    const { route, check } = checkRequest(req, caller, hasParentHere);
    const keyRefusal = describeKeyRefusal(check);
    if (keyRefusal !== undefined) {
      return refuseForKey(req, res, caller, keyRefusal);
    }
    if (table === undefined || route === undefined) {
      ctx.metrics.countCall("", CallResult.NoRoute, 0);
      return refuse(req, res, 404, "no route matches");
    }
    const account = check.type === "account" ? check.account : undefined;
    // Nested calls carry no key.
    const isNested = hasParentHere && account === undefined;
    const waitedMs = unreadTimeMs(req.socket);
    const limitMs = Math.min(caller.waitMs ?? Infinity, route.timeoutMs);
    const waitMs = limitMs - waitedMs;
    const ageMs = isNested || caller.waitMs === undefined
      ? 0
      : estimateAgeMs(ctx.timeouts, route.name, caller.waitMs);
    const deadlineRatio = deadlineRatioOf({
      parentRatio: isNested
        ? ctx.deadlineRatioOf(caller.parentId ?? "")
        : undefined,
      callerWaitMs: caller.waitMs,
      ageMs,
      route,
    });
    const now = ctx.now();
    const reason = admitRequest({ waitedMs, isNested, waitMs, stop, now });
    if (reason !== undefined) {
      if (isNested && caller.parentId) ctx.recordNestedFailure(caller.parentId);
      const retryMs = retryAfterMs({
        waitMs: retryDelayMs(reason, waitedMs),
        leftMs: waitMs,
        random: ctx.random(),
      });
      const headers = ctx.dialect.refusalHeaders(caller.id, retryMs);
      return refuse(req, res, 503, reason, headers);
    }
    const { bodyBytes } = table.limits;
    if (Number(req.headers["content-length"] ?? 0) > bodyBytes) {
      return refuse(req, res, 413, "the body is too large");
    }
    const { calls } = connection;
    let waiting: ServedCall | undefined = undefined;
    const endWait = () => {
      if (waiting !== undefined) calls.delete(waiting);
    };
    const serve = (giveBack: () => void) => {
      endWait();
      const quotaMs = ctx.now() - now;
      let isDone = false;
      let call: ServedCall | undefined = undefined;
      call = serveCall({
        ctx,
        req,
        res,
        id: caller.id,
        route,
        account,
        checkedTable: table,
        recheckKey: () => checkRequest(req, caller, hasParentHere, route).check,
        parentId: isNested ? caller.parentId : undefined,
        waitMs: waitMs - quotaMs,
        ageMs: ageMs + quotaMs,
        deadlineRatio,
        answerBy: () => stop?.times.answerBy ?? Infinity,
        maxBodyBytes: bodyBytes,
        mayClose: () => mayClose(res),
        onDone(isUnsent) {
          isDone = true;
          if (call !== undefined) calls.delete(call);
          if (isUnsent) giveBack();
        },
      });
      if (!isDone) calls.add(call);
    };
    waiting = waitForToken({
      ctx,
      account: account?.name,
      onAdmitted: serve,
      onRefused(quotaMs) {
        endWait();
        const headers = ctx.dialect.refusalHeaders(caller.id, quotaMs);
        refuse(req, res, 429, "the account's quota is used up", headers);
      },
      onStopped() {
        endWait();
        const retryMs = retryDelayMs(Rejection.Stopping, waitedMs);
        const headers = ctx.dialect.refusalHeaders(caller.id, retryMs);
        refuse(req, res, 503, Rejection.Stopping, headers);
      },
    });
    if (waiting !== undefined) calls.add(waiting);
  }

  /** Checks a request's API key by the route table in force. */
  function checkRequest(
    req: IncomingMessage,
    caller: CallerHead,
    hasParentHere: boolean,
    fallback?: Route,
  ) {
    const { table } = ctx.routes;
    const host = req.headers.host ?? "";
    const found = table && findRoute(table, host, req.url ?? "/");
    const route = found ?? fallback;
    const { key, parentId } = caller;
    const unlessHere = parentId === undefined ? Parent.None : Parent.Unknown;
    const parent = hasParentHere ? Parent.RunsHere : unlessHere;
    return { route, check: checkKey({ table, route, key, parent }) };
  }

  function refuseForKey(
    req: IncomingMessage,
    res: ServerResponse,
    caller: CallerHead,
    { status, reason, fault }: KeyRefusal,
  ) {
    if (fault !== undefined) ctx.metrics.countKeyRefusal(fault);
    const headers = status === 503
      ? ctx.dialect.refusalHeaders(caller.id, NOT_KNOWN_RETRY_MS)
      : {};
    refuse(req, res, status, reason, headers);
  }

  /** A connection is closed after its newest request, never before. */
  function mayClose(res: ServerResponse): boolean {
    const latest = connections.get(res.req.socket)?.latest;
    return stop !== undefined && (latest === undefined || latest === res);
  }

  function watch(socket: Socket, latest: ServerResponse): Connection {
    const connection: Connection = {
      calls: new Set(),
      unsent: new Set(),
      latest,
    };
    connections.set(socket, connection);
    socket.once("close", () => {
      connections.delete(socket);
      unsent -= connection.unsent.size;
      connection.unsent.clear();
      for (const call of connection.calls) call.abandon();
    });
    return connection;
  }

  function trackAnswer(connection: Connection, res: ServerResponse) {
    connection.latest = res;
    connection.unsent.add(res);
    unsent++;
    res.once("finish", () => {
      if (connection.unsent.delete(res)) unsent--;
    });
  }

  function refuse(
    req: IncomingMessage,
    res: ServerResponse,
    status: number,
    reason: string,
    headers: Record<string, string> = {},
  ) {
    req.resume();
    if (mayClose(res)) res.shouldKeepAlive = false;
    answerLocally(res, { status, reason, headers });
    ctx.log.write("call", LogLevel.Warn, "request refused", {
      status,
      reason,
      id: ctx.dialect.readCaller(req.headers, req.rawHeaders)?.id,
      host: req.headers.host,
      target: req.url,
      table: ctx.routes.table?.version,
    });
  }

  /** Time after which a rejected caller may be accepted. */
  function retryDelayMs(reason: Rejection, waitedMs: number): number {
    if (stop === undefined || reason !== Rejection.Stopping) return waitedMs;
    // Until it exits, the node would reject the same caller again.
    return stop.times.endAt - ctx.now();
  }

  /** Longest time that a request that is read now may have waited. */
  function unreadTimeMs(socket: Socket): number {
    const lagMs = ctx.lagMs();
    const arrival = arrivals.get(socket);
    arrivals.delete(socket);
    if (arrival === undefined) return lagMs;
    const sinceMs = ctx.now() - arrival.acceptedAt;
    // A request that is sent later did not wait with its connection.
    return sinceMs <= lagMs + PROMPT_REQUEST_MS
      ? arrival.queuedMs + sinceMs
      : lagMs;
  }

  const server = createServer({ maxHeaderSize: MAX_HEAD_BYTES }, handleRequest);
  server.on("connection", (socket: Socket) => {
    arrivals.set(socket, {
      acceptedAt: ctx.now(),
      queuedMs: accepts.accepted(),
    });
  });
  return {
    server,
    setLimits(limits) {
      server.keepAliveTimeout = limits.idleMs + IDLE_SLACK_MS;
      server.headersTimeout = limits.headerMs;
    },
    drain(state) {
      stop = state;
      for (const { calls } of connections.values()) {
        for (const call of [...calls]) call.limitAnswer();
      }
    },
    refuseUnsentCalls() {
      for (const { calls } of connections.values()) {
        for (const call of [...calls]) call.refuseUnsent();
      }
    },
    recheckUnsentCalls() {
      for (const { calls } of connections.values()) {
        for (const call of [...calls]) call.recheckUnsent();
      }
    },
    open: () => unsent,
    unsentBytes() {
      let bytes = 0;
      for (const socket of connections.keys()) bytes += socket.writableLength;
      return bytes;
    },
    close() {
      for (const [socket, { calls }] of connections) {
        for (const call of [...calls]) call.abort();
        const unsentBytes = socket.writableLength;
        if (unsentBytes === 0) continue;
        ctx.log.write(
          "call",
          LogLevel.Error,
          "answer aborted by shutdown: not completely sent",
          {
            unsentBytes,
          },
        );
      }
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Whether the connection is closed after this answer. */
function isClosing(res: ServerResponse): boolean {
  return res.headersSent && !res.shouldKeepAlive;
}
