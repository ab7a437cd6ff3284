/**
 * Starts a process that hosts fake upstreams, and sends it requests.
 * @module
 */
import { startProcess } from "../fleet/start_process.ts";
import type {
  HostReply,
  HostRequest,
  NumberedMessage,
} from "./upstream_host.ts";

export interface UpstreamHost {
  request(body: HostRequest): Promise<HostReply>;
  close(): Promise<void>;
}

/** Starts an upstream host as a child process. */
export function startUpstreamHost(): UpstreamHost {
  const child = startProcess({
    script: "dist/tools/measure/upstream_host.js",
    args: [],
  });
  const pending = new Map<number, (reply: HostReply) => void>();
  let lastNumber = 0;
  child.child.on("message", (message) => {
    const reply = message as NumberedMessage<HostReply>;
    pending.get(reply.number)?.(reply.body);
    pending.delete(reply.number);
  });
  return {
    request: (body) =>
      new Promise((resolve) => {
        lastNumber++;
        pending.set(lastNumber, resolve);
        child.send({ number: lastNumber, body });
      }),
    close: () => child.stop(),
  };
}
