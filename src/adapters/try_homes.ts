/**
 * Sends a call to home nodes (the nodes on the endpoints' VMs) until an attempt
 * is answered or no retry is allowed.
 * @module
 */
import type { ServerResponse } from "node:http";
import createDebug from "debug";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Directory, NodeId, NodeInfo } from "../core/types.ts";
import { concludeCall, mayHaveRun } from "../retry/conclude_call.ts";
import { decideRetry } from "../retry/decide_retry.ts";
import type { CallEnd } from "../retry/messages.ts";
import type { RetryCall, RetryState } from "../retry/state.ts";
import { type CallEvent, CallOutcome } from "../rollout/state.ts";
import { chooseHome, type HomeChoice } from "../routing/choose_home.ts";
import { decideRouting } from "../routing/decide_routing.ts";
import { overdueAfter } from "../routing/recent_times.ts";
import type { RoutingEvent, RoutingState } from "../routing/state.ts";
import { canSendBody } from "./call_body.ts";
import type { CallTotals } from "./call_totals.ts";
import type { CallRequest } from "./calls.ts";
import type { Home } from "./create_home.ts";
import type { Attempt } from "./create_relay.ts";
import type { HomeLinks } from "./home_links.ts";

const log = createDebug("lagoon:calls");

const LOWEST_SERVER_ERROR = 500;

/** State and connections of the node that attempts use. */
export interface TryHomesContext {
  readonly self: NodeInfo;
  readonly directory: Directory;
  readonly routing: RoutingState;
  readonly retry: RetryState;
  readonly home: Home;
  readonly links: HomeLinks;
  readonly totals: CallTotals;
  /** Receives the events of each attempt. Only set for calls from callers. */
  readonly recordCall?: (event: CallEvent) => void;
}

/** Number of the next attempt, unique in the process. */
let nextCall = 1;

type Target = Exclude<HomeChoice, { type: "none" }>;

/** Resolves with the result of the call. Never rejects. */
export async function tryHomes(
  context: TryHomesContext,
  call: CallRequest,
  res: ServerResponse,
): Promise<CallEnd> {
  const tried: NodeId[] = [];
  let last: CallEnd | undefined;
  let hasRun = false;
  while (true) {
    const target = choose(context, call, tried);
    if (target.type === "none") {
      return concludeCall(last ?? noHome(call), hasRun);
    }
    tried.push(target.to);
    const end = await tryHome(context, call, res, target, tried);
    // A finished answer also counts as destroyed: `writableEnded` excludes it.
    const hasLeft = call.capture === undefined && res.destroyed &&
      !res.writableEnded;
    if (hasLeft && end.type !== "cut") return { type: "cancelled" };
    if (end.type !== "given-up") {
      const retryCall = describeForRetry(call, tried.length);
      const effect = decideRetry(context.retry, {
        type: "ended",
        end,
        call: retryCall,
      });
      if (effect.type === "keep") return concludeCall(end, hasRun);
    }
    hasRun ||= mayHaveRun(end);
    context.totals.retries++;
    last = end.type === "given-up" ? abandonedEnd : end;
  }
}

/** End of a call whose overdue attempt was abandoned and not replaced. */
const abandonedEnd: CallEnd = {
  type: "unknown",
  reason: "The home did not answer in the usual time",
  isLate: false,
};

function choose(
  context: TryHomesContext,
  call: CallRequest,
  tried: readonly NodeId[],
): HomeChoice {
  return chooseHome({
    directory: context.directory,
    state: context.routing,
    service: call.service,
    version: call.version,
    tried,
    mayLeave: call.hopsLeft > 1,
    region: context.self.region,
    now: performance.now(),
    random: [Math.random(), Math.random()],
  });
}

function describeForRetry(call: CallRequest, attempts: number): RetryCall {
  return {
    attempts,
    isRepeatable: call.isRepeatable,
    canResend: canSendBody(call.body),
    leftMs: call.deadlineAt - performance.now(),
  };
}

async function tryHome(
  context: TryHomesContext,
  call: CallRequest,
  res: ServerResponse,
  target: Target,
  tried: readonly NodeId[],
): Promise<CallEnd> {
  const { routing, totals } = context;
  const key = keyOfVersion(call.service, call.version);
  const route = `${key} ${call.route}`;
  const startedAt = performance.now();
  const at = { key, home: target.to };
  let wasOverdue = false;
  let isRecorded = false;
  let lateTimer: NodeJS.Timeout | undefined;

  function run(event: RoutingEvent) {
    for (const effect of decideRouting(routing, event)) {
      if (effect.type !== "ejected") continue;
      totals.ejections++;
      log("Home node %s is ejected for %s.", effect.home, key);
    }
  }

  const id = nextCall++;
  const { service, version } = call;
  const measured = { call: id, service, version, route: call.route };

  function recordOutcome(outcome: CallOutcome) {
    if (isRecorded) return;
    isRecorded = true;
    const latencyMs = performance.now() - startedAt;
    context.recordCall?.({ type: "answered", ...measured, outcome, latencyMs });
  }

  const overdueMs = overdueAfter(routing, route);
  function onOverdue() {
    wasOverdue = true;
    totals.overdue++;
    run({ type: "overdue", ...at, now: performance.now() });
    const retryCall = describeForRetry(call, tried.length);
    // An attempt is only abandoned when an untried home node is left, so that
    // two slow nodes are not abandoned for each other.
    const hasOther = choose(context, call, tried).type !== "none";
    const effect = hasOther
      ? decideRetry(context.retry, { type: "overdue", call: retryCall })
      : undefined;
    if (effect?.type === "retry") {
      recordOutcome(CallOutcome.Failed);
      attempt.giveUp();
      return;
    }
    // Rollouts count a hung call as failed long before its timeout.
    lateTimer = setTimeout(
      () => recordOutcome(CallOutcome.Failed),
      2 * overdueMs,
    );
  }

  run({ type: "dispatched", ...at, now: startedAt });
  context.recordCall?.({ type: "begun", ...measured, now: startedAt });
  const attempt = begin(context, call, res, target, overdueMs, onOverdue);
  const end = await attempt.end;
  clearTimeout(lateTimer);
  const now = performance.now();
  const tookMs = now - startedAt;
  run({ type: "ended", ...at, route, end, tookMs, wasOverdue, now });
  const outcome = outcomeOf(end);
  if (outcome !== undefined) recordOutcome(outcome);
  else if (!isRecorded) context.recordCall?.({ type: "abandoned", call: id });
  return end;
}

function begin(
  context: TryHomesContext,
  call: CallRequest,
  res: ServerResponse,
  target: Target,
  overdueMs: number,
  onOverdue: () => void,
): Attempt {
  const { self, home, links } = context;
  if (target.to === self.id) {
    return home.run(call, res, { afterMs: overdueMs, onOverdue });
  }
  const hopsLeft = target.type === "gateway" ? call.hopsLeft - 1 : 0;
  return links.forward({
    to: target.to,
    call,
    res,
    hopsLeft,
    overdueMs,
    onOverdue,
  });
}

/**
 * Returns what the end of an attempt says about the version, undefined when it
 * says nothing.
 */
function outcomeOf(end: CallEnd): CallOutcome | undefined {
  switch (end.type) {
    case "answered":
      return end.status >= LOWEST_SERVER_ERROR
        ? CallOutcome.Failed
        : CallOutcome.Served;
    case "unknown":
    case "cut":
      return CallOutcome.Failed;
    case "not-run":
    case "cancelled":
    case "given-up":
      return undefined;
  }
}

function noHome(call: CallRequest): CallEnd {
  return {
    type: "not-run",
    code: "LAGOON_CALL_NO_HOME",
    reason: `no home of ${call.service}@${call.version} can be reached`,
    status: 503,
  };
}
