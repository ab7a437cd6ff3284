/**
 * Reads an HTTP answer byte by byte, as a caller receives it.
 * @module
 */
import { connect } from "node:net";

/** Bytes received on a connection until its end. */
export interface Wire {
  readonly text: string;
  readonly isReset: boolean;
}

/** Options of `readWire`. */
export interface ReadWireOptions {
  /** `host:port` of the server. */
  readonly address: string;
  /** Bytes of a request, with `connection: close`. */
  readonly request: string;
}

/** Sends a request on a new connection and reads until its end. */
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
      // Node.js reports a clean end when the last bytes and a reset arrive
      // together. A write then fails immediately.
      socket.write("\r\n");
      finish(socket.errored !== null);
    });
    socket.write(opts.request);
  });
}

/**
 * Returns whether an HTTP client would accept the bytes as a complete 200
 * answer.
 */
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
