/**
 * Runs calls at the endpoints for which this node is the home node (the node
 * on the same VM, the only one that connects to them).
 * @module
 */
import type { ServerResponse } from "node:http";
import PQueue from "p-queue";
import Pool from "undici/lib/dispatcher/pool.js";
import { decideAdmission } from "../admission/decide_admission.ts";
import { rampSlots } from "../admission/ramp_slots.ts";
import { createAdmissionState } from "../admission/state.ts";
import { exhausted } from "../core/exhausted.ts";
import { type EndpointId, EndpointState } from "../core/types.ts";
import { isSameSoftware } from "../endpoint_proxy/is_same_software.ts";
import type { OwnEndpoint } from "../membership/state.ts";
import type { CallEnd } from "../retry/messages.ts";
import {
  DEADLINE_HEADER,
  LOAD_HEADER,
  VERSION_HEADER,
} from "../routing/headers.ts";
import { canSendBody } from "./call_body.ts";
import type { CallWatch } from "./call_watch.ts";
import type { CallRequest } from "./calls.ts";
import type { Attempt } from "./create_relay.ts";
import { dispatchCall } from "./dispatch_call.ts";
import type { QuarantineDriver, StartResult } from "./drive_quarantine.ts";
import { NOOP_RECORDER, type Recorder } from "../trace/create_recorder.ts";
import { TraceSlice } from "../trace/messages.ts";

/** Time after which an idle connection to an endpoint is closed. */
const KEEP_ALIVE_MS = 30_000;

interface EndpointRunner {
  readonly queue: PQueue;
  readonly pool: Pool;
  readonly connections: number;
}

/** Options of `createHome`. */
export interface CreateHomeOptions {
  readonly endpoints: () => ReadonlyMap<EndpointId, OwnEndpoint>;
  readonly watch: CallWatch;
  readonly quarantine: QuarantineDriver;
  readonly recorder?: Recorder;
}

export interface Home {
  /** Returns whether this VM has an endpoint of the version in any state. */
  has(service: string, version: string): boolean;
  /** Runs a call at an endpoint of this VM, or refuses it without a run. */
  run(
    call: CallRequest,
    res: ServerResponse,
    overdue?: { readonly afterMs: number; readonly onOverdue: () => void },
  ): Attempt;
  /** Closes the connection pools of endpoints that have been removed. */
  sweep(): void;
  close(): Promise<void>;
}

/** Creates the part of the home node that runs calls at local endpoints. */
export function createHome(opts: CreateHomeOptions): Home {
  const { watch, quarantine } = opts;
  const runners = new Map<EndpointId, EndpointRunner>();
  const { recorder = NOOP_RECORDER } = opts;
  const state = recorder.created(
    TraceSlice.Admission,
    {},
    createAdmissionState(),
  );
  const decide = recorder.traced(TraceSlice.Admission, decideAdmission);
  const now = () => performance.now();

  function runnerOf(own: OwnEndpoint): EndpointRunner {
    const { endpoint, connections } = own.announcement;
    const known = runners.get(endpoint);
    if (known?.connections === connections) return known;
    // The old pool finishes its calls. The queue is kept, so that no slot is
    // assigned twice.
    known?.pool.close();
    const runner = {
      queue: known?.queue ?? new PQueue({ concurrency: 1 }),
      pool: new Pool(`http://${endpoint}`, {
        connections,
        keepAliveTimeout: KEEP_ALIVE_MS,
        // The call watch enforces these timeouts with a single timer.
        headersTimeout: 0,
        bodyTimeout: 0,
      }),
      connections,
    };
    runners.set(endpoint, runner);
    return runner;
  }

  function loadOf(own: OwnEndpoint): number {
    const { endpoint, slots } = own.announcement;
    const load = state.endpoints.get(endpoint);
    return ((load?.running ?? 0) + (load?.waiting ?? 0)) / slots;
  }

  function pickEndpoint(call: CallRequest): OwnEndpoint | undefined {
    let best: OwnEndpoint | undefined;
    for (const own of opts.endpoints().values()) {
      if (!isSameSoftware(call, own.announcement)) continue;
      if (own.announcement.state !== EndpointState.Ready) continue;
      if (best === undefined || loadOf(own) < loadOf(best)) best = own;
    }
    return best;
  }

  function run(
    call: CallRequest,
    res: ServerResponse,
    overdue?: Parameters<Home["run"]>[2],
  ): Attempt {
    const own = pickEndpoint(call);
    if (own === undefined) {
      const reason = `no ready ${call.service}@${call.version} is here`;
      return refused("LAGOON_CALL_NO_ENDPOINT", reason);
    }
    const { endpoint, slots, connections } = own.announcement;
    const runner = runnerOf(own);
    const concurrency = rampSlots({
      slots,
      connections,
      readyMs: now() - own.readySince,
    });
    if (runner.queue.concurrency !== concurrency) {
      runner.queue.concurrency = concurrency;
    }
    const leftMs = call.deadlineAt - now();
    const { plan } = call;
    const [effect] = decide(state, {
      type: "asked",
      endpoint,
      plan,
      slots: concurrency,
      leftMs,
      now: now(),
    });
    if (effect?.type !== "admit") {
      return refused("LAGOON_CALL_OVERLOADED", effect?.reason ?? "overload");
    }
    const { tag } = effect;
    let attempt: Attempt | undefined;
    let isGivenUp = false;
    const work = async (): Promise<CallEnd> => {
      const { fingerprint, deadlineAt } = call;
      const begun = await quarantine.start({
        endpoint,
        fingerprint,
        deadlineAt,
      });
      const refusal = isGivenUp
        ? givenUp
        : findStartRefusal(call, res, opts.endpoints().get(endpoint), begun);
      const isRun = refusal === undefined && begun.type === "started";
      decide(state, { type: "started", endpoint, plan, tag, isRun });
      if (begun.type !== "started") return refusal ?? quarantined;
      if (refusal !== undefined) {
        quarantine.end(endpoint, begun.call, false);
        return refusal;
      }
      const startedAt = now();
      attempt = runAtUpstream({ runner, own, call, res, overdue });
      const end = await attempt.end;
      const tookMs = now() - startedAt;
      decide(state, { type: "ended", endpoint, tookMs });
      await reportToQuarantine(endpoint, begun.call, end);
      return end.type === "answered" ? { ...end, load: loadOf(own) } : end;
    };
    return {
      end: runner.queue.add(work, { priority: -tag }),
      giveUp() {
        isGivenUp = true;
        attempt?.giveUp();
      },
    };
  }

  /**
   * Reports how a run ended. After a broken connection, waits until the
   * quarantine has checked whether the endpoint crashed, and has announced a
   * crash to the failure domain.
   */
  async function reportToQuarantine(
    endpoint: EndpointId,
    call: number,
    end: CallEnd,
  ) {
    switch (end.type) {
      case "answered":
        return quarantine.end(endpoint, call, true);
      case "unknown":
        if (end.isLate) return quarantine.end(endpoint, call, false);
        await quarantine.failed(endpoint, call);
        return;
      case "cut":
        await quarantine.failed(endpoint, call);
        return;
      case "not-run":
      case "cancelled":
      case "given-up":
        return quarantine.end(endpoint, call, false);
      default:
        exhausted(end);
    }
  }

  function runAtUpstream(at: {
    readonly runner: EndpointRunner;
    readonly own: OwnEndpoint;
    readonly call: CallRequest;
    readonly res: ServerResponse;
    readonly overdue: Parameters<Home["run"]>[2];
  }): Attempt {
    const { call, overdue } = at;
    return dispatchCall({
      pool: at.runner.pool,
      watch,
      res: at.res,
      method: call.method,
      path: call.path,
      headers: {
        ...call.headers,
        [DEADLINE_HEADER]: String(Math.ceil(call.deadlineAt - now())),
      },
      body: call.body,
      deadlineAt: call.deadlineAt,
      isPeer: false,
      ...(call.capture === undefined ? {} : { capture: call.capture }),
      extra: () => ({
        [VERSION_HEADER]: call.version,
        [LOAD_HEADER]: loadOf(at.own).toFixed(2),
      }),
      ...(overdue === undefined ? {} : {
        overdueMs: overdue.afterMs,
        onOverdue: overdue.onOverdue,
      }),
    });
  }

  function sweep() {
    const live = opts.endpoints();
    for (const [endpoint, runner] of runners) {
      if (live.has(endpoint)) continue;
      if (runner.queue.pending + runner.queue.size > 0) continue;
      runners.delete(endpoint);
      runner.pool.close();
      decide(state, { type: "gone", endpoint });
    }
  }

  return {
    has: (service, version) =>
      [...opts.endpoints().values()].some((own) =>
        own.announcement.service === service &&
        own.announcement.version === version
      ),
    run,
    sweep,
    async close() {
      await Promise.all([...runners.values()].map(async (runner) => {
        await runner.queue.onIdle();
        await runner.pool.close();
      }));
    },
  };
}

const givenUp: CallEnd = { type: "given-up" };

const quarantined = notRun(
  "LAGOON_CALL_QUARANTINED",
  "the request is under suspicion and can't run here now",
);

/** Returns why a call can't run after its wait, undefined if it can. */
function findStartRefusal(
  call: CallRequest,
  res: ServerResponse,
  own: OwnEndpoint | undefined,
  begun: StartResult,
): CallEnd | undefined {
  if (begun.type !== "started") return quarantined;
  const hasLeft = res.destroyed && call.capture === undefined;
  if (hasLeft) return { type: "cancelled" };
  if (call.deadlineAt <= performance.now()) {
    return notRun(
      "LAGOON_CALL_DEADLINE",
      "the deadline passed while it waited",
    );
  }
  if (own?.announcement.state !== EndpointState.Ready) {
    return notRun("LAGOON_CALL_DRAINING", "the upstream leaves");
  }
  if (!isSameSoftware(call, own.announcement)) {
    const reason = `another upstream has the address of ${call.service}`;
    return notRun("LAGOON_CALL_NO_ENDPOINT", reason);
  }
  return canSendBody(call.body)
    ? undefined
    : notRun("LAGOON_CALL_BODY_GONE", "the body can't be sent again");
}

function notRun(code: `LAGOON_${string}`, reason: string): CallEnd {
  return { type: "not-run", code, reason, status: 503 };
}

function refused(code: `LAGOON_${string}`, reason: string): Attempt {
  return { end: Promise.resolve(notRun(code, reason)), giveUp: () => {} };
}
