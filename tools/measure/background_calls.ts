/**
 * Calls that flow through a fleet while things happen to it.
 * @module
 */
import { randomUUID } from "node:crypto";
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";
import type { Fleet, FleetNode } from "../fleet/start_fleet.ts";

/** What became of the calls. */
export interface CallTotals {
  sent: number;
  served: number;
  /** Refused as not run. */
  notRun: number;
  /** Answered badly by a version that is bad on purpose. */
  badVersion: number;
  /** Failed while processes were being killed. */
  duringHerd: number;
  /** Failed or broke off with nothing to explain it. */
  lost: number;
}

export interface BackgroundCalls {
  readonly totals: CallTotals;
  /** Codes and causes of lost calls, for a person to look into. */
  readonly causes: Map<string, number>;
  /** True while processes are killed on purpose. */
  isHerd: boolean;
  /** Versions that are bad on purpose. */
  readonly badVersions: Set<string>;
  stop(): Promise<void>;
}

/** Options of `startBackgroundCalls`. */
export interface StartBackgroundCallsOptions {
  readonly fleet: Fleet;
  /** Calls a second over the whole fleet. */
  readonly rate: number;
  /** Every n-th call is a write with an idempotency key, sent twice. */
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
    isHerd: false,
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
    let turn = 0;
    while (!isStopped) {
      const due = (performance.now() - startedAt) * opts.rate / 1_000;
      while (turn < due) {
        const sent = sendTurn(turn++);
        running.add(sent);
        sent.finally(() => running.delete(sent));
      }
      await sleep(2);
    }
  }

  async function sendTurn(turn: number) {
    const { services } = fleet.deployment;
    const service = services[turn % services.length];
    const up = fleet.nodes.filter((node) => node.isUp);
    const node = up[Math.floor(turn / services.length) % up.length];
    if (service === undefined || node === undefined) return;
    if (turn % opts.writeEvery !== 0) {
      const path = `/${service.service}${service.read}`;
      return await send(node, { method: "GET", path });
    }
    const path = `/${service.service}${service.write}`;
    const call = { method: "POST", path, key: randomUUID() } as const;
    await send(node, call);
    // A caller that did not hear its answer sends the same call again.
    await send(up[(turn + 1) % up.length] ?? node, call);
  }

  async function send(node: FleetNode, call: Call) {
    const { totals } = calls;
    totals.sent++;
    const wasHerd = calls.isHerd;
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
      else noteLost(wasHerd, `${call.method} ${res.statusCode} ${reason}`);
    } catch (err) {
      noteLost(wasHerd || !node.isUp, `${call.method} ${String(err)}`);
    }
  }

  function noteLost(isExplained: boolean, cause: string) {
    if (isExplained || calls.isHerd) {
      calls.totals.duringHerd++;
      return;
    }
    calls.totals.lost++;
    calls.causes.set(cause, (calls.causes.get(cause) ?? 0) + 1);
  }

  const loop = run();
  return calls;
}
