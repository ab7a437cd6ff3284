/**
 * Sends calls through a fleet in the background while faults are injected.
 * @module
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { Fleet, FleetNode } from "../fleet/start_fleet.ts";

/** Outcomes of the calls. */
export interface CallTotals {
  sent: number;
  served: number;
  /** Refused with the assurance that the call was not run. */
  notRun: number;
  /** Answered with an error by a version with injected faults. */
  badVersion: number;
  /** Failed while nodes were killed on purpose. */
  duringHerd: number;
  /** Failed or broke off without an injected fault that explains it. */
  lost: number;
}

export interface BackgroundCalls {
  readonly totals: CallTotals;
  /** Numbers of lost calls by method and by status or error. */
  readonly causes: Map<string, number>;
  /** True while nodes are killed on purpose. */
  areNodesKilled: boolean;
  /** Versions with injected faults. */
  readonly badVersions: Set<string>;
  stop(): Promise<void>;
}

/** Options of `startBackgroundCalls`. */
export interface StartBackgroundCallsOptions {
  readonly fleet: Fleet;
  /** Calls per second to all nodes together. */
  readonly rate: number;
  /** Each n-th call is a write with an idempotency key, which is sent twice. */
  readonly writeEvery: number;
}

interface Call {
  readonly method: "GET" | "POST";
  readonly path: string;
  readonly key?: string;
}

/** Starts calling every service through every node that is up. */
export function startBackgroundCalls(
  opts: StartBackgroundCallsOptions,
): BackgroundCalls {
  const { fleet } = opts;
  const agent = new Agent({ connections: 32 });
  const running = new Set<Promise<unknown>>();
  let isStopped = false;
  const calls: BackgroundCalls = {
    totals: {
      sent: 0,
      served: 0,
      notRun: 0,
      badVersion: 0,
      duringHerd: 0,
      lost: 0,
    },
    causes: new Map(),
    areNodesKilled: false,
    badVersions: new Set(),
    async stop() {
      if (isStopped) return;
      isStopped = true;
      await loop;
      await Promise.all(running);
      await agent.close();
    },
  };

  async function run() {
    const startedAt = performance.now();
    let callNumber = 0;
    while (!isStopped) {
      const due = (performance.now() - startedAt) * opts.rate / 1_000;
      while (callNumber < due) {
        const sent = sendNext(callNumber++);
        running.add(sent);
        sent.finally(() => running.delete(sent));
      }
      await sleep(2);
    }
  }

  async function sendNext(callNumber: number) {
    const { services } = fleet.deployment;
    const service = services[callNumber % services.length];
    const up = fleet.nodes.filter((node) => node.isUp);
    const node = up[Math.floor(callNumber / services.length) % up.length];
    if (service === undefined || node === undefined) return;
    if (callNumber % opts.writeEvery !== 0) {
      const path = `/${service.service}${service.read}`;
      return await send(node, { method: "GET", path });
    }
    const path = `/${service.service}${service.write}`;
    const call = { method: "POST", path, key: randomUUID() } as const;
    await send(node, call);
    // A caller that did not receive its answer sends the call again.
    await send(up[(callNumber + 1) % up.length] ?? node, call);
  }

  async function send(node: FleetNode, call: Call) {
    const { totals } = calls;
    totals.sent++;
    const wasKilling = calls.areNodesKilled;
    try {
      const res = await agent.request({
        origin: `http://${node.call}`,
        method: call.method,
        path: call.path,
        headers: {
          "lagoon-customer": "measured",
          ...(call.key === undefined ? {} : { "idempotency-key": call.key }),
        },
        body: call.method === "POST" ? "{}" : null,
        headersTimeout: 15_000,
        bodyTimeout: 15_000,
      });
      const version = String(res.headers["lagoon-version"] ?? "");
      const reason = String(res.headers["lagoon-reason"] ?? "");
      await res.body.dump();
      if (res.headers["lagoon-not-run"] === "true") totals.notRun++;
      else if (res.statusCode < 400) totals.served++;
      else if (calls.badVersions.has(version)) totals.badVersion++;
      else addFailure(wasKilling, `${call.method} ${res.statusCode} ${reason}`);
    } catch (err) {
      addFailure(
        wasKilling || !node.isUp,
        `${call.method} ${String(err)}`,
      );
    }
  }

  function addFailure(isExpected: boolean, cause: string) {
    if (isExpected || calls.areNodesKilled) {
      calls.totals.duringHerd++;
      return;
    }
    calls.totals.lost++;
    calls.causes.set(cause, (calls.causes.get(cause) ?? 0) + 1);
  }

  const loop = run();
  return calls;
}
