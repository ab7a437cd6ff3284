/**
 * An HTTP server on one address, with an explicit close.
 * @module
 */
import { createServer, type Server } from "node:http";
import polka, { type Polka } from "polka";

/** Headers that a caller may send, in bytes. */
const maxHeaderBytes = 16 * 1024;

export interface HttpServer {
  readonly app: Polka;
  readonly server: Server;
  /** Stops accepting, waits for calls in flight, then resolves. */
  close(): Promise<void>;
}

/** Options of `openHttpServer`. */
export interface OpenHttpServerOptions {
  /** `host:port` to listen on. */
  readonly address: string;
  /** Adds the routes before the server listens. */
  readonly setUp: (app: Polka, server: Server) => void;
}

/** Opens a server. Rejects when the address can't be listened on. */
export async function openHttpServer(
  opts: OpenHttpServerOptions,
): Promise<HttpServer> {
  const server = createServer({ maxHeaderSize: maxHeaderBytes });
  const app = polka({ server });
  opts.setUp(app, server);
  const split = opts.address.lastIndexOf(":");
  const host = opts.address.slice(0, split).replace(/^\[|\]$/g, "");
  const port = Number(opts.address.slice(split + 1));
  await new Promise<void>((resolve, reject) => {
    server.once("error", reject);
    app.listen(port, host, () => resolve());
  });
  return { app, server, close: () => closeServer(server) };
}

async function closeServer(server: Server) {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeIdleConnections();
  await closed;
}
