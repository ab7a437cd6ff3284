/**
 * Sends the demo's calls at a steady rate and counts the outcomes by version.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { Agent } from "undici";

/** Numbers of calls that one version answered. */
export interface VersionCalls {
  served: number;
  failed: number;
}

/** Options of `startCalls`. */
export interface StartCallsOptions {
  /** Call addresses of nodes, used round-robin. */
  readonly nodes: readonly string[];
  readonly customers: readonly string[];
  /** Path that starts with the service, such as `/portaal/accounts`. */
  readonly path: string;
  /** Time between two calls, in milliseconds. */
  readonly everyMs: number;
}

export interface Calls {
  /** Counts by version; `none` for calls that no upstream answered. */
  readonly byVersion: ReadonlyMap<string, VersionCalls>;
  /** Stops sending and waits for the calls in flight. Idempotent. */
  close(): Promise<void>;
}

/** Starts sending calls, until `close`. */
export function startCalls(opts: StartCallsOptions): Calls {
  const agent = new Agent({ connections: 16 });
  const byVersion = new Map<string, VersionCalls>();
  const running = new Set<Promise<void>>();
  let isOpen = true;
  let sent = 0;

  function recordCall(version: string, isServed: boolean) {
    const counts = byVersion.get(version) ?? { served: 0, failed: 0 };
    if (isServed) counts.served++;
    else counts.failed++;
    byVersion.set(version, counts);
  }

  async function sendCall(index: number) {
    const node = opts.nodes[index % opts.nodes.length];
    const customer = opts.customers[index % opts.customers.length] ?? "";
    try {
      const res = await agent.request({
        origin: `http://${node}`,
        method: "GET",
        path: opts.path,
        headers: { "lagoon-customer": customer },
      });
      await res.body.dump();
      const isNotRun = res.headers["lagoon-not-run"] === "true";
      const version = isNotRun ? "none" : res.headers["lagoon-version"];
      recordCall(String(version ?? "none"), res.statusCode < 400);
    } catch {
      recordCall("none", false);
    }
  }

  async function sendUntilClosed() {
    while (isOpen) {
      const call = sendCall(sent++);
      running.add(call);
      call.finally(() => running.delete(call));
      await sleep(opts.everyMs);
    }
  }

  const sending = sendUntilClosed();
  return {
    byVersion,
    async close() {
      if (!isOpen) return;
      isOpen = false;
      await sending;
      await Promise.all(running);
      await agent.close();
    },
  };
}
