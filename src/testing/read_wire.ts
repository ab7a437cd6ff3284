/**
 * What a caller sees of an answer on its bare connection.
 * @module
 */
import { connect } from "node:net";

/** What came on a connection until its end. */
export interface Wire {
  readonly text: string;
  readonly isReset: boolean;
}

/** Options of `readWire`. */
export interface ReadWireOptions {
  /** `host:port` of the server. */
  readonly address: string;
  /** Bytes of a request that asks for the connection's end. */
  readonly request: string;
}

/** Sends a request on a connection of its own and reads to the end. */
export function readWire(opts: ReadWireOptions): Promise<Wire> {
  const [host = "", port] = opts.address.split(":");
  return new Promise((resolve) => {
    const socket = connect({ host, port: Number(port), allowHalfOpen: true });
    let text = "";
    const finish = (isReset: boolean) => {
      resolve({ text, isReset });
      socket.destroy();
    };
    socket.on("data", (part) => text += part.toString("latin1"));
    socket.on("error", () => finish(true));
    socket.on("end", () => {
      // Node reports an orderly end when the last bytes and a reset come
      // together. Writing fails at once then.
      socket.write("\r\n");
      finish(socket.errored !== null);
    });
    socket.write(opts.request);
  });
}

/** Whether a client that reads it would take it as a whole success. */
export function isCompleteSuccess({ text, isReset }: Wire): boolean {
  const [head = "", ...rest] = text.split("\r\n\r\n");
  if (!head.startsWith("HTTP/1.1 200")) return false;
  const body = rest.join("\r\n\r\n");
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined) return body.length === Number(length);
  if (/\r\ntransfer-encoding: chunked/i.test(head)) {
    return text.endsWith("\r\n0\r\n\r\n");
  }
  return !isReset;
}
