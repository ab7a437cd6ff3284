/**
 * The server that clients and the endpoint on this VM call.
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from "node:http";
import type { Socket } from "node:net";
import type { MonotonicMs } from "../core/types.ts";
import { LogLevel } from "../logs/create_log.ts";
import { CallResult } from "../metrics/create_metrics.ts";
import { findRoute } from "../routes/find_route.ts";
import type { ClientLimits } from "../routes/state.ts";
import { retryAfterMs } from "../calls/retry_after.ts";
import type { ShutdownState } from "../shutdown/state.ts";
import { admitRequest, Rejection } from "./admit_request.ts";
import { answerLocally } from "./answer_caller.ts";
import { createAcceptMeter } from "./create_accept_meter.ts";
import { estimateAgeMs } from "./estimate_age.ts";
import { isNestedCall } from "./is_nested_call.ts";
import { serveCall, type ServedCall } from "./serve_call.ts";
import type { CallContext } from "./state.ts";

/**
 * Bound of a request's head. Node fixes it when the server is made, before the
 * first route table says what operators allow.
 */
const maxHeadBytes = 65_536;

/** Time after which a caller may come back before the first route table. */
const noTableRetryMs = 200;

/** A connection is kept a little longer than its idle limit says. */
const idleSlackMs = 500;

/**
 * A first request that is read within this time of its connection was sent with
 * it, in milliseconds. A turn of the loop is added where turns are long.
 */
const promptMs = 50;

/** Options of `createCallerServer`. */
export interface CreateCallerServerOptions {
  readonly ctx: CallContext;
}

export interface CallerServer {
  readonly server: Server;
  setLimits(limits: ClientLimits): void;
  /** Asks callers to connect elsewhere with their next request. */
  drain(state: ShutdownState): void;
  /** Refuses the requests that no home has been offered yet. */
  refuseRest(): void;
  /** Requests whose answers have not left yet. */
  open(): number;
  /** Ends what is left of all connections. */
  close(): void;
}

/** How a connection came. */
interface Arrival {
  readonly acceptedAt: MonotonicMs;
  /** Longest time that it may have waited to be accepted. */
  readonly queuedMs: number;
}

/** Requests of one connection. */
interface Connection {
  readonly calls: Set<ServedCall>;
  /** Answers that are not made, or have not left the socket. */
  readonly unsent: Set<ServerResponse>;
  /** Answer that goes out last. */
  latest: ServerResponse;
}

/** Creates the server. It listens where its owner tells it to. */
export function createCallerServer(
  opts: CreateCallerServerOptions,
): CallerServer {
  const { ctx } = opts;
  const connections = new Map<Socket, Connection>();
  const accepts = createAcceptMeter(ctx);
  /** Connections whose first request has not been read. */
  const arrivals = new WeakMap<Socket, Arrival>();
  let stop: ShutdownState | undefined;
  let unsent = 0;

  function take(req: IncomingMessage, res: ServerResponse) {
    const connection = connections.get(req.socket) ?? watch(req.socket, res);
    const caller = ctx.dialect.readCaller(req.headers);
    // The answer before it closes the connection, so its caller sends it again.
    if (isClosing(connection.latest)) {
      req.resume();
      ctx.log.write("call", LogLevel.Info, "request behind the last answer", {
        id: caller?.id,
      });
      return;
    }
    expect(connection, res);
    const { table } = ctx.routes;
    if (caller === undefined) {
      return refuse(req, res, 400, "the request has no id");
    }
    if (table === undefined) {
      const headers = ctx.dialect.refusalHeaders(caller.id, noTableRetryMs);
      return refuse(req, res, 503, "no route table is known yet", headers);
    }
    const route = findRoute(table, req.headers.host ?? "", req.url ?? "/");
    if (route === undefined) {
      ctx.metrics.countCall("", CallResult.NoRoute, 0);
      return refuse(req, res, 404, "no route matches");
    }
    const isNested = isNestedCall(caller, ctx.isRunningHere);
    const waitedMs = unreadMs(req.socket);
    const mayWaitMs = Math.min(caller.waitMs ?? Infinity, route.timeoutMs);
    const waitMs = mayWaitMs - waitedMs;
    const ageMs = isNested || caller.waitMs === undefined
      ? 0
      : estimateAgeMs(ctx.timeouts, route.name, caller.waitMs);
    const now = ctx.now();
    const reason = admitRequest({ waitedMs, isNested, waitMs, stop, now });
    if (reason !== undefined) {
      if (isNested && caller.parentId) ctx.excuseRun(caller.parentId);
      const retryMs = retryAfterMs({
        waitMs: returnMs(reason, waitedMs),
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
    let isDone = false;
    let call: ServedCall | undefined = undefined;
    call = serveCall({
      ctx,
      req,
      res,
      id: caller.id,
      route,
      parentId: isNested ? caller.parentId : undefined,
      waitMs,
      ageMs,
      maxBodyBytes: bodyBytes,
      mayClose: () => mayClose(res),
      onDone() {
        isDone = true;
        if (call !== undefined) calls.delete(call);
      },
    });
    if (!isDone) calls.add(call);
  }

  /** A connection is closed behind its last request, never before one. */
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

  function expect(connection: Connection, res: ServerResponse) {
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
      id: ctx.dialect.readCaller(req.headers)?.id,
      host: req.headers.host,
      target: req.url,
      table: ctx.routes.table?.version,
    });
  }

  /** Time after which a caller that was turned away may be taken. */
  function returnMs(reason: Rejection, waitedMs: number): number {
    if (stop === undefined || reason !== Rejection.Stopping) return waitedMs;
    // Until its end the node would turn the same caller away again.
    return stop.times.endAt - ctx.now();
  }

  /** How long a request that is read now may have waited before. */
  function unreadMs(socket: Socket): number {
    const lagMs = ctx.lagMs();
    const arrival = arrivals.get(socket);
    arrivals.delete(socket);
    if (arrival === undefined) return lagMs;
    const sinceMs = ctx.now() - arrival.acceptedAt;
    // A request that came later did not wait with its connection.
    return sinceMs <= lagMs + promptMs ? arrival.queuedMs + sinceMs : lagMs;
  }

  const server = createServer({ maxHeaderSize: maxHeadBytes }, take);
  server.on("connection", (socket: Socket) => {
    arrivals.set(socket, {
      acceptedAt: ctx.now(),
      queuedMs: accepts.accepted(),
    });
  });
  return {
    server,
    setLimits(limits) {
      server.keepAliveTimeout = limits.idleMs + idleSlackMs;
      server.headersTimeout = limits.headerMs;
    },
    drain(state) {
      stop = state;
    },
    refuseRest() {
      for (const { calls } of connections.values()) {
        for (const call of [...calls]) call.refuseUnsent();
      }
    },
    open: () => unsent,
    close() {
      for (const [socket, { calls }] of connections) {
        for (const call of [...calls]) call.cut();
        const unsentBytes = socket.writableLength;
        if (unsentBytes === 0) continue;
        ctx.log.write("call", LogLevel.Error, "answer cut by the stop", {
          unsentBytes,
        });
      }
      server.close();
      server.closeAllConnections();
    },
  };
}

/** Whether the connection ends behind this answer. */
function isClosing(res: ServerResponse): boolean {
  return res.headersSent && !res.shouldKeepAlive;
}
