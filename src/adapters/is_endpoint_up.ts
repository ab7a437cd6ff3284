/**
 * Tells a broken connection from a dead upstream.
 * @module
 */
import { connect } from "node:net";
import type { EndpointId } from "../core/types.ts";

const limitMs = 200;

/** Resolves with whether the endpoint accepts a connection in time. */
export function isEndpointUp(endpoint: EndpointId): Promise<boolean> {
  const { hostname, port } = new URL(`http://${endpoint}`);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) });
    const finish = (isUp: boolean) => {
      socket.destroy();
      resolve(isUp);
    };
    socket.setTimeout(limitMs, () => finish(false));
    socket.once("connect", () => finish(true));
    socket.once("error", () => finish(false));
  });
}
