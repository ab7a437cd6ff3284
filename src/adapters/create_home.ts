/**
 * Runs calls on the upstreams whose home this node is.
 * @module
 */
import type { IncomingMessage, ServerResponse } from "node:http";
import { pipeline } from "node:stream/promises";
import createDebug from "debug";
import PQueue from "p-queue";
import { Pool } from "undici";
import { decideAdmission } from "../admission/decide_admission.ts";
import { type EndpointId, EndpointState } from "../core/types.ts";
import type { OwnEndpoint } from "../membership/state.ts";
import {
  deadlineHeader,
  loadHeader,
  versionHeader,
} from "../routing/headers.ts";
import { type CallRequest, refuseNotRun, sendableHeaders } from "./calls.ts";

const log = createDebug("lagoon:home");

const meanWeight = 0.1;
const initialMeanMs = 10;

interface EndpointRunner {
  readonly queue: PQueue;
  readonly pool: Pool;
  meanMs: number;
}

/** Options of `createHome`. */
export interface CreateHomeOptions {
  readonly endpoints: () => ReadonlyMap<EndpointId, OwnEndpoint>;
}

export interface Home {
  /** Runs a call here, or refuses it as not run. */
  run(call: CallRequest, res: ServerResponse): Promise<void>;
  close(): Promise<void>;
}

/** Creates the home of this VM's upstreams. */
export function createHome(opts: CreateHomeOptions): Home {
  const runners = new Map<EndpointId, EndpointRunner>();

  function runnerOf(own: OwnEndpoint): EndpointRunner {
    const { endpoint, slots, connections } = own.announcement;
    const known = runners.get(endpoint);
    if (known !== undefined) return known;
    const runner = {
      queue: new PQueue({ concurrency: slots }),
      pool: new Pool(`http://${endpoint}`, {
        connections: Math.min(slots, connections),
      }),
      meanMs: initialMeanMs,
    };
    runners.set(endpoint, runner);
    return runner;
  }

  function pickEndpoint(call: CallRequest): OwnEndpoint | undefined {
    const fitting = [...opts.endpoints().values()].filter((own) =>
      own.announcement.service === call.service &&
      own.announcement.version === call.version &&
      own.announcement.state === EndpointState.Ready
    );
    const loadOf = (own: OwnEndpoint) => {
      const { queue } = runnerOf(own);
      return (queue.pending + queue.size) / own.announcement.slots;
    };
    return fitting.sort((a, b) => loadOf(a) - loadOf(b))[0];
  }

  return {
    async run(call, res) {
      const own = pickEndpoint(call);
      if (own === undefined) {
        const reason = `no ${call.service}@${call.version} here`;
        return refuseNotRun(res, "LAGOON_CALL_NO_ENDPOINT", reason);
      }
      const runner = runnerOf(own);
      const { queue } = runner;
      const { slots } = own.announcement;
      const decision = decideAdmission({
        load: {
          slots,
          running: queue.pending,
          waiting: queue.size,
          meanMs: runner.meanMs,
        },
        leftMs: call.deadlineAt - performance.now(),
      });
      if (decision.type === "refuse") {
        return refuseNotRun(res, "LAGOON_CALL_OVERLOADED", decision.reason);
      }
      await queue.add(() => runAtUpstream(runner, slots, call, res));
    },
    async close() {
      await Promise.all([...runners.values()].map(async (runner) => {
        await runner.queue.onIdle();
        await runner.pool.close();
      }));
    },
  };
}

async function runAtUpstream(
  runner: EndpointRunner,
  slots: number,
  call: CallRequest,
  res: ServerResponse,
) {
  const leftMs = call.deadlineAt - performance.now();
  if (leftMs <= 0 || res.destroyed) {
    const reason = "the deadline passed while the call waited";
    return refuseNotRun(res, "LAGOON_CALL_DEADLINE", reason);
  }
  const startedAt = performance.now();
  const abort = new AbortController();
  const timer = setTimeout(() => abort.abort(), leftMs);
  res.once("close", () => abort.abort());
  try {
    const answer = await runner.pool.request({
      method: call.method as "GET",
      path: call.path,
      headers: {
        ...sendableHeaders(call.headers),
        [deadlineHeader]: String(Math.floor(leftMs)),
      },
      body: call.body.length > 0 ? call.body : null,
      signal: abort.signal,
    });
    const load = (runner.queue.pending + runner.queue.size) / slots;
    res.writeHead(answer.statusCode, {
      ...sendableHeaders(answer.headers as IncomingMessage["headers"]),
      [versionHeader]: call.version,
      [loadHeader]: load.toFixed(2),
    });
    await pipeline(answer.body, res);
  } catch (err) {
    log("Call to %s failed: %s.", call.service, String(err));
    failCall(res, abort.signal.aborted ? 504 : 502);
  } finally {
    clearTimeout(timer);
    const tookMs = performance.now() - startedAt;
    runner.meanMs += (tookMs - runner.meanMs) * meanWeight;
  }
}

/** A broken answer must not look whole: the connection is destroyed. */
function failCall(res: ServerResponse, status: number) {
  if (res.headersSent) {
    res.destroy();
    return;
  }
  res.writeHead(status, { "content-type": "text/plain" });
  res.end("The upstream failed after the call was dispatched.\n");
}
