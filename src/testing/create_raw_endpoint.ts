/**
 * Fake of an endpoint whose answers a test writes byte by byte.
 * @module
 */
import { type AddressInfo, createServer, type Socket } from "node:net";
import type { TestContext } from "node:test";

/** A request whose head has been received. */
export interface RawRequest {
  readonly socket: Socket;
  readonly target: string;
  /** Value of the header `call-id`. */
  readonly callId: string;
  /** Number of its connection, from 1. */
  readonly connection: number;
  /** Number of the request on its connection, from 1. */
  readonly seq: number;
}

export interface RawEndpoint {
  readonly address: string;
  readonly requests: readonly RawRequest[];
  connections(): number;
}

const HEAD_END = "\r\n\r\n";

/**
 * Starts the endpoint on loopback. It calls `onRequest` for each request head
 * and skips bodies, which must not contain an empty line.
 */
export async function createRawEndpoint(
  t: TestContext,
  onRequest: (req: RawRequest) => void,
): Promise<RawEndpoint> {
  const requests: RawRequest[] = [];
  const open = new Set<Socket>();
  let connections = 0;
  const server = createServer((socket) => {
    const connection = ++connections;
    let seq = 0;
    let text = "";
    open.add(socket);
    socket.on("close", () => open.delete(socket));
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => {
      text += chunk.toString("latin1");
      const heads = text.split(HEAD_END);
      text = heads.pop() ?? "";
      for (const head of heads) {
        const req: RawRequest = {
          socket,
          target: / (\S+) HTTP\//.exec(head)?.[1] ?? "",
          callId: /call-id: (\S+)/i.exec(head)?.[1] ?? "",
          connection,
          seq: ++seq,
        };
        requests.push(req);
        onRequest(req);
      }
    });
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.after(() => {
    for (const socket of open) socket.destroy();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  return {
    address: `127.0.0.1:${port}`,
    requests,
    connections: () => connections,
  };
}
