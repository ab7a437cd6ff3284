/**
 * The way of a call: from the caller's request to a home and back.
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
import { createHomeLinks, forwardPrefix } from "./home_links.ts";
import { createHeldBodies } from "./held_bodies.ts";
import { isAuthorized } from "./is_authorized.ts";
import { readCall, readForward, type ReadResult } from "./read_call.ts";
import { needsClaim, runWithClaim } from "./run_with_claim.ts";
import { tryHomes, type TryHomesContext } from "./try_homes.ts";
import type { Recorder } from "../trace/create_recorder.ts";

const log = createDebug("lagoon:calls");
const logTotals = createDebug("lagoon:totals");

/** Longest pause within an upload or an answer, in milliseconds. */
const idleMs = 10_000;

const sweepMs = 5_000;

/** Options of `createCallPath`. */
export interface CreateCallPathOptions {
  readonly control: Control;
  readonly self: NodeInfo;
  readonly keys: readonly string[];
  readonly recorder?: Recorder;
}

export interface CallPath {
  readonly totals: Readonly<CallTotals>;
  /** Adds the callers' routes. */
  setUpCalls(app: Polka): void;
  /** Adds the routes for calls that other nodes pass on. */
  setUpForwards(app: Polka): void;
  /** Refuses new calls as not run. Those in flight go on. */
  stop(): void;
  /** Resolves when no call is in flight, or after `boundMs`. */
  idle(boundMs: number): Promise<void>;
  close(): Promise<void>;
}

/** Creates the call path of a node. */
export function createCallPath(opts: CreateCallPathOptions): CallPath {
  const { control, keys } = opts;
  const watch: CallWatch = createCallWatch({ idleMs });
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
  const callers: TryHomesContext = {
    ...context,
    noteCall: control.noteCall,
  };
  const held = createHeldBodies();
  const proven = new WeakMap<Socket, string>();
  const timer = setInterval(sweep, sweepMs);
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

  async function takeCall(req: IncomingMessage, res: ServerResponse) {
    totals.calls++;
    const read = await readCall({ control, held, watch, req, res });
    if (read.type === "refused") return refuseRead(res, read);
    const { call } = read;
    const level = control.quarantine.check(call.fingerprint);
    if (level === SuspicionLevel.Quarantined) {
      return refuseRead(res, quarantined);
    }
    const run = (one: CallRequest) => tryHomes(callers, one, res);
    const end = needsClaim(call)
      ? await runWithClaim({ once: control.once, call, res, run })
      : await run(call);
    if (end === undefined) {
      totals.claimed++;
      return;
    }
    count(end);
    tell(res, end);
  }

  async function takeForward(req: IncomingMessage, res: ServerResponse) {
    if (!isPeer(req)) {
      return refuseNotRun(res, "LAGOON_PEER_KEY", "wrong key", 401);
    }
    totals.forwarded++;
    const read = await readForward({ held, watch, req, res });
    if (read.type === "refused") return refuseRead(res, read);
    const { call } = read;
    // A gateway chooses a home of its domain, once. A home runs the call.
    const end = call.hopsLeft > 0
      ? await tryHomes(context, call, res)
      : await home.run(call, res).end;
    tell(res, end);
  }

  /** Hashes a key once for each connection, not for each call. */
  function isPeer(req: IncomingMessage): boolean {
    const given = req.headers["proxy-authorization"];
    if (given !== undefined && proven.get(req.socket) === given) return true;
    if (!isAuthorized(given, keys)) return false;
    if (given !== undefined) proven.set(req.socket, given);
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

  function count(end: CallEnd) {
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
    // The caller's socket has the last say on whether an answer arrived, and a
    // claimed call goes on without its caller.
    const closed = new Promise((resolve) => res.once("close", resolve));
    const handled = handle(req, res).catch((err) => {
      log("Call failed: %s.", String(err));
      abortAnswer(res);
    });
    Promise.all([closed, handled]).then(() => {
      active.delete(res);
      if (active.size === 0) onIdle();
    });
  };

  return {
    totals,
    setUpCalls: (app) => app.use(guard(takeCall) as never),
    setUpForwards: (app) => {
      const forward = guard(takeForward);
      app.use((req, res, next) => {
        if (!(req.url ?? "").startsWith(`${forwardPrefix}/`)) return next();
        forward(req, res);
      });
    },
    stop() {
      isStopping = true;
      for (const res of lastOfConnections(active)) res.shouldKeepAlive = false;
    },
    async idle(boundMs) {
      if (active.size === 0) return;
      let bound: NodeJS.Timeout | undefined;
      await new Promise<void>((resolve) => {
        onIdle = resolve;
        bound = setTimeout(resolve, boundMs);
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

/** Answers behind which nothing is due on their connections. */
function lastOfConnections(
  active: Iterable<ServerResponse>,
): Iterable<ServerResponse> {
  const last = new Map<Socket, ServerResponse>();
  // They are in the order in which their requests were read.
  for (const res of active) last.set(res.req.socket, res);
  return last.values();
}

const quarantined = {
  type: "refused",
  status: 422,
  code: "LAGOON_CALL_QUARANTINED",
  reason: "this request crashed its upstreams before",
} as const;

/** Tells the caller how its call ended, where the answer did not. */
function tell(res: ServerResponse, end: CallEnd) {
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
