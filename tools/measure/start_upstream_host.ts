/**
 * Starts a process of upstream stand-ins and talks to it.
 * @module
 */
import { startProcess } from "../fleet/start_process.ts";
import type { HostReply, HostRequest, Numbered } from "./upstream_host.ts";

export interface UpstreamHost {
  ask(body: HostRequest): Promise<HostReply>;
  close(): Promise<void>;
}

/** Starts an upstream host. */
export function startUpstreamHost(): UpstreamHost {
  const child = startProcess({
    script: "dist/tools/measure/upstream_host.js",
    args: [],
  });
  const waiting = new Map<number, (reply: HostReply) => void>();
  let number = 0;
  child.child.on("message", (message) => {
    const reply = message as Numbered<HostReply>;
    waiting.get(reply.number)?.(reply.body);
    waiting.delete(reply.number);
  });
  return {
    ask: (body) =>
      new Promise((resolve) => {
        number++;
        waiting.set(number, resolve);
        child.send({ number, body });
      }),
    close: () => child.stop(),
  };
}
