/**
 * Connections to the endpoint that tell a reset from an orderly end.
 * @module
 */
import { connect, type Socket } from "node:net";

/** Options that the HTTP client gives for each connection. */
export interface ConnectorOptions {
  readonly hostname: string;
  readonly port: string;
}

export type ConnectCallback = (
  ...args: [null, Socket] | [Error, null]
) => void;

export interface EndpointConnector {
  connect(opts: ConnectorOptions, callback: ConnectCallback): void;
  /** True while the HTTP client is told of a connection's error. */
  isResetting(): boolean;
}

/** Options of `createEndpointConnector`. */
export interface CreateEndpointConnectorOptions {
  /** Time for a connection, in milliseconds. */
  readonly connectMs: number;
}

/**
 * Creates a connector. The HTTP client takes a reset as the end of an answer
 * without a length; such an answer is not whole.
 */
export function createEndpointConnector(
  opts: CreateEndpointConnectorOptions,
): EndpointConnector {
  let isResetting = false;

  /** Added before the client's own listener, so that it runs first. */
  function markReset() {
    isResetting = true;
    queueMicrotask(() => {
      isResetting = false;
    });
  }

  return {
    connect({ hostname, port }, callback) {
      const socket = connect({
        host: hostname,
        port: Number(port),
        noDelay: true,
      });
      const timer = setTimeout(() => {
        socket.destroy(new Error(`no connection in ${opts.connectMs} ms`));
      }, opts.connectMs);
      const fail = (err: Error) => {
        clearTimeout(timer);
        callback(err, null);
      };
      socket.once("error", fail);
      socket.once("connect", () => {
        clearTimeout(timer);
        socket.off("error", fail);
        socket.on("error", markReset);
        callback(null, socket);
      });
    },
    isResetting: () => isResetting,
  };
}
