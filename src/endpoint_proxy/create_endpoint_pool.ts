/**
 * Keeps connections to the endpoint, each with the ids of the calls that were
 * sent on it.
 * @module
 */
import type { Dispatcher } from "undici";
import Client from "undici/lib/dispatcher/client.js";
import type { EndpointConnector } from "./connect_endpoint.ts";

/** Idle time after which a connection is not used again, in milliseconds. */
const KEEP_ALIVE_MS = 4_000;

/**
 * Number of calls after which a connection is replaced. Limits the kept ids.
 */
const MAX_CALLS_PER_CONNECTION = 1_000;

/** Options of `createEndpointPool`. */
export interface CreateEndpointPoolOptions {
  /** `host:port` of the endpoint. */
  readonly address: string;
  /**
   * Number of connections up to which idle connections are kept. A call that
   * finds no idle connection opens another in any case.
   */
  readonly connections: number;
  readonly connector: EndpointConnector;
}

export interface EndpointPool {
  /**
   * Sends one call, on a connection on which no call with the same id was sent.
   * An answer with that id therefore can't belong to an earlier call.
   */
  dispatch(
    opts: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    callId: string,
  ): void;
  /** Closes all connections and aborts the calls on them. */
  close(): Promise<void>;
}

interface Connection {
  readonly client: Client;
  /** Ids of the calls that were sent on the open socket. */
  readonly callIds: Set<string>;
  /**
   * Stays true for one turn of the event loop after an answer. Bytes that the
   * endpoint sends without a request are detected in that turn.
   */
  isBusy: boolean;
  isOpen: boolean;
}

/** Creates a pool without connections. The first calls open them. */
export function createEndpointPool(
  opts: CreateEndpointPoolOptions,
): EndpointPool {
  const connections = new Set<Connection>();

  function open(): Connection {
    const callIds = new Set<string>();
    const client = new Client(`http://${opts.address}`, {
      connect: opts.connector.connect,
      pipelining: 1,
      keepAliveTimeout: KEEP_ALIVE_MS,
      maxRequestsPerClient: MAX_CALLS_PER_CONNECTION,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = { client, callIds, isBusy: false, isOpen: false };
    client.on("connect", () => connection.isOpen = true);
    client.on("disconnect", () => {
      connection.isOpen = false;
      callIds.clear();
    });
    client.on("drain", () => connection.isBusy = false);
    // The client has failed the call of this connection already. The next call
    // opens another connection.
    client.on("connectionError", () => connections.delete(connection));
    connections.add(connection);
    return connection;
  }

  function chooseConnection(callId: string): Connection {
    let oldest: Connection | undefined;
    let unused: Connection | undefined;
    for (const one of connections) {
      if (one.isBusy) continue;
      oldest ??= one;
      if (one.callIds.has(callId)) continue;
      if (one.isOpen) return one;
      unused ??= one;
    }
    if (unused !== undefined) return unused;
    if (oldest !== undefined && connections.size >= opts.connections) {
      connections.delete(oldest);
      void oldest.client.destroy();
    }
    return open();
  }

  return {
    dispatch(request, handler, callId) {
      const connection = chooseConnection(callId);
      const { client, callIds } = connection;
      const isReady = client.dispatch(request, {
        ...handler,
        onRequestStart(controller, context) {
          callIds.add(callId);
          handler.onRequestStart?.(controller, context);
        },
      });
      // The client does not queue a malformed call, so no drain event follows.
      connection.isBusy = !isReady && client.stats.size > 0;
    },
    async close() {
      const open = [...connections];
      connections.clear();
      await Promise.all(open.map(({ client }) => client.destroy()));
    },
  };
}
