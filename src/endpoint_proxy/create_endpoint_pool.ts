/**
 * Kept connections to the endpoint, each with the calls that it has carried.
 * @module
 */
import type { Dispatcher } from "undici";
import Client from "undici/lib/dispatcher/client.js";
import type { EndpointConnector } from "./connect_endpoint.ts";

/** Idle time after which a connection is not used again, in milliseconds. */
const keepAliveMs = 4_000;

/** Calls after which a connection is replaced, so that few ids are kept. */
const maxCalls = 1_000;

/** Options of `createEndpointPool`. */
export interface CreateEndpointPoolOptions {
  /** `host:port` of the endpoint. */
  readonly address: string;
  /** Connections that may be kept. A call that finds none idle opens one. */
  readonly connections: number;
  readonly connector: EndpointConnector;
}

export interface EndpointPool {
  /**
   * Sends one call, on a connection that never carried its id. There an answer
   * that names the call can't be the answer to an earlier call of that id.
   */
  dispatch(
    opts: Dispatcher.DispatchOptions,
    handler: Dispatcher.DispatchHandler,
    callId: string,
  ): void;
  /** Ends all connections, with the calls on them. */
  close(): Promise<void>;
}

interface Connection {
  readonly client: Client;
  /** Ids of the calls that the open socket has carried. */
  readonly carried: Set<string>;
  /** Also for a turn behind an answer, in which unasked bytes show. */
  isBusy: boolean;
  isOpen: boolean;
}

/** Creates the pool. Connections are opened by the first calls. */
export function createEndpointPool(
  opts: CreateEndpointPoolOptions,
): EndpointPool {
  const connections = new Set<Connection>();

  function open(): Connection {
    const carried = new Set<string>();
    const client = new Client(`http://${opts.address}`, {
      connect: opts.connector.connect,
      pipelining: 1,
      keepAliveTimeout: keepAliveMs,
      maxRequestsPerClient: maxCalls,
      headersTimeout: 0,
      bodyTimeout: 0,
    });
    const connection = { client, carried, isBusy: false, isOpen: false };
    client.on("connect", () => connection.isOpen = true);
    client.on("disconnect", () => {
      connection.isOpen = false;
      carried.clear();
    });
    client.on("drain", () => connection.isBusy = false);
    // Its call has been told. The next one opens another.
    client.on("connectionError", () => connections.delete(connection));
    connections.add(connection);
    return connection;
  }

  function choose(callId: string): Connection {
    let oldest: Connection | undefined;
    let unused: Connection | undefined;
    for (const one of connections) {
      if (one.isBusy) continue;
      oldest ??= one;
      if (one.carried.has(callId)) continue;
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
      const connection = choose(callId);
      const { client, carried } = connection;
      const isReady = client.dispatch(request, {
        ...handler,
        onRequestStart(controller, context) {
          carried.add(callId);
          handler.onRequestStart?.(controller, context);
        },
      });
      // A malformed call was not queued, so no drain follows.
      connection.isBusy = !isReady && client.stats.size > 0;
    },
    async close() {
      const open = [...connections];
      connections.clear();
      await Promise.all(open.map(({ client }) => client.destroy()));
    },
  };
}
