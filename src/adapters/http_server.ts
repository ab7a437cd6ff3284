/**
 * An HTTP server on one address, with an explicit close.
 * @module
 */
import { createServer, type Server } from "node:http";
import polka, { type Polka } from "polka";

/** Headers that a caller may send, in bytes. */
const maxHeaderBytes = 16 * 1024;

/** Connections that a server holds, so that their buffers are bounded. */
const maxConnections = 2_048;

/** Longest time in which a request may arrive whole, in milliseconds. */
const longestRequestMs = 600_000;

/** Longest time in which a request's head may arrive, in milliseconds. */
const longestHeadMs = 10_000;

/** Interval at which a closing server looks for idle connections. */
const closeIdleMs = 50;

export interface HttpServer {
  readonly app: Polka;
  readonly server: Server;
  /**
   * Stops accepting and waits for calls in flight. Cuts those that are left
   * after `boundMs`.
   */
  close(boundMs?: number): Promise<void>;
}

/** Options of `openHttpServer`. */
export interface OpenHttpServerOptions {
  /** `host:port` to listen on. */
  readonly address: string;
  /** Adds the routes before the server listens. */
  readonly setUp: (app: Polka, server: Server) => void;
  /** Handlers answer `expect: 100-continue` themselves. */
  readonly handlesExpect?: boolean;
}

const defaultBoundMs = 60_000;

/** Opens a server. Rejects when the address can't be listened on. */
export async function openHttpServer(
  opts: OpenHttpServerOptions,
): Promise<HttpServer> {
  const server = createServer({
    maxHeaderSize: maxHeaderBytes,
    noDelay: true,
    requestTimeout: longestRequestMs,
    headersTimeout: longestHeadMs,
  });
  server.maxConnections = maxConnections;
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
    close: (boundMs = defaultBoundMs) => closeServer(server, boundMs),
  };
}

async function closeServer(server: Server, boundMs: number) {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  const closeIdle = setInterval(
    () => server.closeIdleConnections(),
    closeIdleMs,
  );
  const bound = setTimeout(() => server.closeAllConnections(), boundMs);
  server.closeIdleConnections();
  await closed;
  clearInterval(closeIdle);
  clearTimeout(bound);
}
