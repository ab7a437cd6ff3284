/**
 * Distinguishes a broken connection from a crashed endpoint.
 * @module
 */
import { connect } from "node:net";
import type { EndpointId } from "../core/types.ts";

const CONNECT_TIMEOUT_MS = 200;

/**
 * Resolves with false when `endpoint` (`host:port`) refuses a connection. A
 * timeout doesn't prove a crash: a starved event loop or a lost packet looks the
 * same.
 */
export function isEndpointUp(endpoint: EndpointId): Promise<boolean> {
  const { hostname, port } = new URL(`http://${endpoint}`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) });
    const finish = (isUp: boolean) => {
      socket.destroy();
      resolve(isUp);
    };
    socket.setTimeout(CONNECT_TIMEOUT_MS, () => finish(true));
    socket.once("connect", () => finish(true));
    // Other errors are this node's own, such as too many open files.
    socket.once(
      "error",
      (err: NodeJS.ErrnoException) => finish(err.code !== "ECONNREFUSED"),
    );
  });
}
