/**
 * A process that hosts upstream stand-ins, driven by its parent's messages.
 * @module
 */
import process from "node:process";
import {
  type FakeUpstream,
  startFakeUpstream,
  type StartFakeUpstreamOptions,
  type UpstreamFaults,
} from "../fake_upstream.ts";

/** What the parent asks. Each request gets one reply with its number. */
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

export interface Numbered<T> {
  readonly number: number;
  readonly body: T;
}

const upstreams = new Map<string, FakeUpstream>();
const keysOfEnded: string[] = [];

async function handle(req: HostRequest): Promise<HostReply> {
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
      keysOfEnded.push(...upstream?.keysRun ?? []);
      return { type: "done" };
    }
    case "keys": {
      const keys = [...upstreams.values()].flatMap((one) => one.keysRun);
      return { type: "keys", keys: [...keysOfEnded, ...keys] };
    }
  }
}

process.on("message", async (message: Numbered<HostRequest>) => {
  const body = await handle(message.body);
  process.send?.({ number: message.number, body });
});
// Without its parent nobody would stop this process.
process.once("disconnect", () => process.exit(0));
