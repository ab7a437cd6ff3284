/**
 * Opens connections to the endpoint and distinguishes a reset connection from
 * one that was closed normally.
 * @module
 */
import { connect, type Socket } from "node:net";

/** Options that the HTTP client passes for each connection. */
export interface ConnectorOptions {
  readonly hostname: string;
  readonly port: string;
}

export type ConnectCallback = (
  ...args: [null, Socket] | [Error, null]
) => void;

export interface EndpointConnector {
  connect(opts: ConnectorOptions, callback: ConnectCallback): void;
  /**
   * Whether the connection whose end the HTTP client is handling right now was
   * reset, or ended while the request was still being written. Writes an empty
   * line to the connection to find out, so it may be called only where the end
   * of the connection marks the end of the answer.
   */
  isReset(): boolean;
}

/** Options of `createEndpointConnector`. */
export interface CreateEndpointConnectorOptions {
  /** Timeout for opening a connection, in milliseconds. */
  readonly connectMs: number;
}

/**
 * Creates a connector.
 *
 * An answer without a length is truncated when its connection is reset, but the
 * HTTP client reports it as complete: it ignores the reset. When the reset
 * arrives together with the last bytes, Node.js itself reports a normal end of
 * the connection instead of the reset.
 */
export function createEndpointConnector(
  opts: CreateEndpointConnectorOptions,
): EndpointConnector {
  let isResetting = false;
  let ending: Socket | undefined;

  // The listeners that call these two functions are added before those of the
  // HTTP client, so they run first.
  function markReset() {
    isResetting = true;
    queueMicrotask(() => {
      isResetting = false;
    });
  }

  function markEnd(socket: Socket) {
    ending = socket;
    queueMicrotask(() => {
      ending = undefined;
    });
  }

  return {
    connect({ hostname, port }, callback) {
      const socket = connect({
        host: hostname,
        port: Number(port),
        noDelay: true,
        // `isReset` writes to the socket after the endpoint has closed its side.
        allowHalfOpen: true,
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
        socket.on("end", () => markEnd(socket));
        callback(null, socket);
      });
    },
    isReset: () =>
      isResetting || (ending !== undefined && failsToWrite(ending)),
  };
}

/**
 * A write fails immediately on a reset connection, but not on a closed one.
 * Behind unsent bytes of the request it would wait instead of failing. An
 * endpoint that ends a connection without reading the whole request usually
 * resets it, so the answer counts as cut off then.
 */
function failsToWrite(socket: Socket): boolean {
  if (socket.writableLength > 0) return true;
  socket.write("\r\n");
  return socket.errored !== null;
}
