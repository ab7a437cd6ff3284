/**
 * Handles calls from callers and calls forwarded by other nodes: reads the
 * request, checks quarantine and claims, and sends it to a home node (the node
 * on the same VM as an endpoint, the only one that connects to it).
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import type { Socket } from "node:net";
import createDebug from "debug";
import type { Polka } from "polka";
import { abortAnswer } from "../core/abort_answer.ts";
import { exhausted } from "../core/exhausted.ts";
import type { NodeInfo } from "../core/types.ts";
import { SuspicionLevel } from "../quarantine/state.ts";
import type { CallEnd } from "../retry/messages.ts";
import { createRetryState } from "../retry/state.ts";
import { decideRouting } from "../routing/decide_routing.ts";
import { createRoutingState } from "../routing/state.ts";
import { type CallTotals, createCallTotals } from "./call_totals.ts";
import { type CallWatch, createCallWatch } from "./call_watch.ts";
import { type CallRequest, failUnknown, refuseNotRun } from "./calls.ts";
import type { Control } from "./create_control.ts";
import { createHome } from "./create_home.ts";
import { createHomeLinks, FORWARD_PREFIX } from "./home_links.ts";
import { createHeldBodies } from "./held_bodies.ts";
import { isAuthorized } from "./is_authorized.ts";
import { readCall, readForward, type ReadResult } from "./read_call.ts";
import { needsClaim, runWithClaim } from "./run_with_claim.ts";
import { tryHomes, type TryHomesContext } from "./try_homes.ts";
import type { Recorder } from "../trace/create_recorder.ts";

const log = createDebug("lagoon:calls");
const logTotals = createDebug("lagoon:totals");

/** Maximum time without a byte within an upload or an answer. */
const IDLE_TIMEOUT_MS = 10_000;

/** Interval of closing connections to stopped endpoints and idle nodes. */
const SWEEP_INTERVAL_MS = 5_000;

/** Options of `createCallPath`. */
export interface CreateCallPathOptions {
  readonly control: Control;
  readonly self: NodeInfo;
  readonly keys: readonly string[];
  readonly recorder?: Recorder;
}

export interface CallPath {
  readonly totals: Readonly<CallTotals>;
  /** Adds the routes for calls from callers. */
  setUpCalls(app: Polka): void;
  /** Adds the routes for calls forwarded by other nodes. */
  setUpForwards(app: Polka): void;
  /** Refuses new calls without running them. Calls in flight continue. */
  stop(): void;
  /** Resolves when no call is in flight, or after `timeoutMs`. */
  idle(timeoutMs: number): Promise<void>;
  close(): Promise<void>;
}

/** Creates the call path of a node. */
export function createCallPath(opts: CreateCallPathOptions): CallPath {
  const { control, keys } = opts;
  const watch: CallWatch = createCallWatch({ idleMs: IDLE_TIMEOUT_MS });
  const links = createHomeLinks({ keys, watch });
  const home = createHome({
    endpoints: () => control.membership.own,
    watch,
    quarantine: control.quarantine,
    ...(opts.recorder === undefined ? {} : { recorder: opts.recorder }),
  });
  const totals = createCallTotals();
  const now = () => performance.now();
  const context: TryHomesContext = {
    self: opts.self,
    directory: control.directory,
    routing: createRoutingState(),
    retry: createRetryState(),
    home,
    links,
    totals,
  };
  const callerContext: TryHomesContext = {
    ...context,
    recordCall: control.recordCall,
  };
  const held = createHeldBodies();
  const verified = new WeakMap<Socket, string>();
  const timer = setInterval(sweep, SWEEP_INTERVAL_MS);
  let isStopping = false;
  const active = new Set<ServerResponse>();
  let onIdle = () => {};

  function sweep() {
    home.sweep();
    for (const effect of decideRouting(context.routing, sweptNow())) {
      if (effect.type === "idle") links.drop(effect.home);
    }
  }

  const sweptNow = () => ({ type: "swept", now: now() }) as const;

  async function handleCall(req: IncomingMessage, res: ServerResponse) {
    totals.calls++;
    const read = await readCall({ control, held, watch, req, res });
    if (read.type === "refused") return refuseRead(res, read);
    const { call } = read;
    const level = control.quarantine.check(call.fingerprint);
    if (level === SuspicionLevel.Quarantined) {
      return refuseRead(res, quarantined);
    }
    const run = (one: CallRequest) => tryHomes(callerContext, one, res);
    const end = needsClaim(call)
      ? await runWithClaim({
        claimRequests: control.claimRequests,
        call,
        res,
        run,
      })
      : await run(call);
    if (end === undefined) {
      totals.claimed++;
      return;
    }
    countEnd(end);
    reportEnd(res, end);
  }

  async function handleForward(req: IncomingMessage, res: ServerResponse) {
    if (!hasPeerKey(req)) {
      return refuseNotRun(res, "LAGOON_PEER_KEY", "wrong key", 401);
    }
    totals.forwarded++;
    const read = await readForward({ held, watch, req, res });
    if (read.type === "refused") return refuseRead(res, read);
    const { call } = read;
    // A gateway chooses a home node in the gateway's failure domain and
    // forwards the call only once. A home node runs the call.
    const end = call.hopsLeft > 0
      ? await tryHomes(context, call, res)
      : await home.run(call, res).end;
    reportEnd(res, end);
  }

  /**
   * Returns whether the request has the peer key. Hashes the key once per
   * connection instead of once per call.
   */
  function hasPeerKey(req: IncomingMessage): boolean {
    const given = req.headers["proxy-authorization"];
    if (given !== undefined && verified.get(req.socket) === given) return true;
    if (!isAuthorized(given, keys)) return false;
    if (given !== undefined) verified.set(req.socket, given);
    return true;
  }

  function refuseRead(
    res: ServerResponse,
    read: Extract<ReadResult, { type: "refused" }>,
  ) {
    if (read.status === 400) totals.malformed++;
    totals.notRun++;
    refuseNotRun(res, read.code, read.reason, read.status);
  }

  function countEnd(end: CallEnd) {
    switch (end.type) {
      case "answered":
        totals.answered++;
        break;
      case "not-run":
        totals.notRun++;
        break;
      case "cancelled":
        totals.cancelled++;
        break;
      case "unknown":
      case "cut":
      case "given-up":
        totals.broken++;
        break;
      default:
        exhausted(end);
    }
  }

  const guard = (
    handle: (req: IncomingMessage, res: ServerResponse) => Promise<void>,
  ) =>
  (req: IncomingMessage, res: ServerResponse) => {
    if (isStopping) {
      res.shouldKeepAlive = false;
      return refuseNotRun(res, "LAGOON_CALL_STOPPING", "this node stops");
    }
    active.add(res);
    // A call is in flight until the caller's socket has taken the answer, and a
    // call with a claim continues after its caller has left.
    const closed = new Promise((resolve) => res.once("close", resolve));
    const handled = handle(req, res).catch((err) => {
      log("Call handler failed: %s.", String(err));
      abortAnswer(res);
    });
    Promise.all([closed, handled]).then(() => {
      active.delete(res);
      if (active.size === 0) onIdle();
    });
  };

  return {
    totals,
    setUpCalls: (app) => app.use(guard(handleCall) as never),
    setUpForwards: (app) => {
      const forward = guard(handleForward);
      app.use((req, res, next) => {
        if (!(req.url ?? "").startsWith(`${FORWARD_PREFIX}/`)) return next();
        forward(req, res);
      });
    },
    stop() {
      isStopping = true;
      for (const res of lastPerConnection(active)) res.shouldKeepAlive = false;
    },
    async idle(timeoutMs) {
      if (active.size === 0) return;
      let bound: NodeJS.Timeout | undefined;
      await new Promise<void>((resolve) => {
        onIdle = resolve;
        bound = setTimeout(resolve, timeoutMs);
      });
      clearTimeout(bound);
    },
    async close() {
      clearInterval(timer);
      await home.close();
      await links.close();
      watch.close();
      logTotals("%j", totals);
    },
  };
}

/**
 * Returns the last pending answer of each connection. Only after that answer
 * may the connection be closed.
 */
function lastPerConnection(
  active: Iterable<ServerResponse>,
): Iterable<ServerResponse> {
  const last = new Map<Socket, ServerResponse>();
  // The answers are in the order in which their requests were read.
  for (const res of active) last.set(res.req.socket, res);
  return last.values();
}

const quarantined = {
  type: "refused",
  status: 422,
  code: "LAGOON_CALL_QUARANTINED",
  reason: "this request crashed its upstreams before",
} as const;

/** Sends the caller a local answer when no answer was forwarded. */
function reportEnd(res: ServerResponse, end: CallEnd) {
  switch (end.type) {
    case "answered":
    case "cancelled":
    case "cut":
      return;
    case "not-run":
      return refuseNotRun(res, end.code, end.reason, end.status);
    case "unknown":
      return failUnknown(res, end.reason, end.isLate);
    case "given-up":
      return failUnknown(res, "The home did not answer", false);
    default:
      exhausted(end);
  }
}
