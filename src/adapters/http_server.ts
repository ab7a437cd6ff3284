/**
 * An HTTP server on one address, with an explicit close.
 * @module
 */
import { createServer, type Server } from "node:http";
import polka, { type Polka } from "polka";

/** Limit on the size of a request's headers. */
const MAX_HEADER_BYTES = 16 * 1024;

/** Maximum number of connections, to limit the memory of their buffers. */
const MAX_CONNECTIONS = 2_048;

/** Limit on the time for receiving a complete request. */
const REQUEST_TIMEOUT_MS = 600_000;

/** Limit on the time for receiving a request's headers. */
const HEADERS_TIMEOUT_MS = 10_000;

/** Interval at which a closing server closes idle connections. */
const IDLE_CHECK_MS = 50;

export interface HttpServer {
  readonly app: Polka;
  readonly server: Server;
  /**
   * Stops accepting connections and waits for requests in flight. Aborts the
   * requests that are still in flight after `timeoutMs`.
   */
  close(timeoutMs?: number): Promise<void>;
}

/** Options of `openHttpServer`. */
export interface OpenHttpServerOptions {
  /** `host:port` to listen on. */
  readonly address: string;
  /** Adds the routes before the server listens. */
  readonly setUp: (app: Polka, server: Server) => void;
  /** Whether the handlers answer `expect: 100-continue` themselves. */
  readonly handlesExpect?: boolean;
}

const DEFAULT_CLOSE_MS = 60_000;

/** Opens a server. Rejects when listening on the address fails. */
export async function openHttpServer(
  opts: OpenHttpServerOptions,
): Promise<HttpServer> {
  const server = createServer({
    maxHeaderSize: MAX_HEADER_BYTES,
    noDelay: true,
    requestTimeout: REQUEST_TIMEOUT_MS,
    headersTimeout: HEADERS_TIMEOUT_MS,
  });
  server.maxConnections = MAX_CONNECTIONS;
  const app = polka({ server });
  opts.setUp(app, server);
  if (opts.handlesExpect === true) {
    server.on("checkContinue", (req, res) => server.emit("request", req, res));
  }
  const split = opts.address.lastIndexOf(":");
  const host = opts.address.slice(0, split).replace(/^\[|\]$/g, "");
  const port = Number(opts.address.slice(split + 1));
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    app.listen(port, host, () => resolve());
  });
  return {
    app,
    server,
    close: (timeoutMs = DEFAULT_CLOSE_MS) => closeServer(server, timeoutMs),
  };
}

async function closeServer(server: Server, timeoutMs: number) {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  const closeIdle = setInterval(
    () => server.closeIdleConnections(),
    IDLE_CHECK_MS,
  );
  const bound = setTimeout(() => server.closeAllConnections(), timeoutMs);
  server.closeIdleConnections();
  await closed;
  clearInterval(closeIdle);
  clearTimeout(bound);
}
