/**
 * Finds free ports on loopback for fakes and fleets of nodes.
 * @module
 */
import { createServer } from "node:net";

/** Returns `count` different ports. They are free but not reserved. */
export async function freePorts(count: number): Promise<number[]> {
  const servers = await Promise.all(
    Array.from({ length: count }, async () => {
      const server = createServer();
      await new Promise<void>((resolve) =>
        server.listen(0, "127.0.0.1", () => resolve())
      );
      return server;
    }),
  );
  const ports = servers.map((server) => {
    const address = server.address();
    return typeof address === "object" && address !== null ? address.port : 0;
  });
  await Promise.all(
    servers.map((server) => new Promise((resolve) => server.close(resolve))),
  );
  return ports;
}
