/**
 * Loaded into a node before it starts: cuts its connections on command.
 *
 * A parent sends `{ cut: ["127.0.0.1:7001", …] }`; connections to these
 * addresses break and new ones fail, until another list comes. Each side of a
 * cut has to be told.
 * @module
 */
import { Socket } from "node:net";
import process from "node:process";

let cut: ReadonlySet<string> = new Set();
const open = new Map<Socket, string>();

// deno-lint-ignore no-explicit-any
const prototype = Socket.prototype as any;
const connect = prototype.connect;

prototype.connect = function (this: Socket, ...args: unknown[]) {
  const address = addressOf(args);
  if (address !== undefined && cut.has(address)) {
    setImmediate(() => this.destroy(new Error(`${address} is cut off`)));
    return this;
  }
  if (address !== undefined) {
    open.set(this, address);
    this.once("close", () => open.delete(this));
  }
  return connect.apply(this, args);
};

/** `net.connect` normalizes its arguments to an array with the options. */
function addressOf(args: unknown[]): string | undefined {
  const first = Array.isArray(args[0]) ? args[0][0] : args[0];
  if (first === null || typeof first !== "object") return undefined;
  const { host, port } = first as { host?: string; port?: number | string };
  return port === undefined ? undefined : `${host ?? "127.0.0.1"}:${port}`;
}

process.on("message", (message: { cut?: readonly string[] }) => {
  if (message.cut === undefined) return;
  cut = new Set(message.cut);
  for (const [socket, address] of open) {
    if (cut.has(address)) socket.destroy();
  }
});
// The channel must not keep a node alive that wants to stop.
process.channel?.unref();
