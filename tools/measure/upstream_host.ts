/**
 * Process that hosts fake upstreams, controlled by messages of its parent.
 * @module
 */
import process from "node:process";
import {
  type FakeUpstream,
  startFakeUpstream,
  type StartFakeUpstreamOptions,
  type UpstreamFaults,
} from "../fake_upstream.ts";

/** Requests of the parent. Each gets one reply with the same number. */
export type HostRequest =
  | {
    readonly type: "start";
    readonly options: StartFakeUpstreamOptions;
  }
  | {
    readonly type: "faults";
    readonly endpoint: string;
    readonly faults: Partial<UpstreamFaults>;
  }
  | { readonly type: "drain"; readonly endpoint: string }
  | { readonly type: "keys" };

export type HostReply =
  | { readonly type: "endpoint"; readonly endpoint: string }
  | { readonly type: "done" }
  | { readonly type: "keys"; readonly keys: readonly string[] };

export interface NumberedMessage<T> {
  readonly number: number;
  readonly body: T;
}

const upstreams = new Map<string, FakeUpstream>();
const keysOfStopped: string[] = [];

async function handleRequest(req: HostRequest): Promise<HostReply> {
  switch (req.type) {
    case "start": {
      const upstream = await startFakeUpstream(req.options);
      upstreams.set(upstream.endpoint, upstream);
      return { type: "endpoint", endpoint: upstream.endpoint };
    }
    case "faults":
      Object.assign(upstreams.get(req.endpoint)?.faults ?? {}, req.faults);
      return { type: "done" };
    case "drain": {
      const upstream = upstreams.get(req.endpoint);
      upstreams.delete(req.endpoint);
      await upstream?.drain();
      await upstream?.close();
      keysOfStopped.push(...upstream?.keysRun ?? []);
      return { type: "done" };
    }
    case "keys": {
      const keys = [...upstreams.values()].flatMap((one) => one.keysRun);
      return { type: "keys", keys: [...keysOfStopped, ...keys] };
    }
  }
}

process.on("message", async (message: NumberedMessage<HostRequest>) => {
  const body = await handleRequest(message.body);
  process.send?.({ number: message.number, body });
});
// No other process would stop this one after its parent has exited.
process.once("disconnect", () => process.exit(0));
