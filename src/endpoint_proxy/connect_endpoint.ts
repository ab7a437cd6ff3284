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
  /**
   * Whether the connection whose end the HTTP client is being told of was
   * reset. Sends an empty line to find out, so it is asked only where the end
   * of the connection is the end of the answer.
   */
  isReset(): boolean;
}

/** Options of `createEndpointConnector`. */
export interface CreateEndpointConnectorOptions {
  /** Time for a connection, in milliseconds. */
  readonly connectMs: number;
}

/**
 * Creates a connector.
 *
 * An answer without a length that is reset is not whole, but the HTTP client
 * takes it as whole: it ignores the reset, and where the last bytes and the
 * reset come together, Node reports an orderly end in place of the reset.
 */
export function createEndpointConnector(
  opts: CreateEndpointConnectorOptions,
): EndpointConnector {
  let isResetting = false;
  let ending: Socket | undefined;

  // Both listeners are added before the client's own, so they run first.
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
        // Writing has to be possible when the other side has ended.
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

/** A connection that was reset fails at once, one that was ended does not. */
function failsToWrite(socket: Socket): boolean {
  socket.write("\r\n");
  return socket.errored !== null;
}
