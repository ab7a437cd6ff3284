/**
 * Preloaded into a node's process to simulate network partitions.
 *
 * The parent process sends `{ cut: ["127.0.0.1:7001", …] }`. Open outgoing
 * connections to these addresses are closed and new ones fail, until the next
 * list arrives. A partition needs such a list on both sides.
 * @module
 */
import { Socket } from "node:net";
import process from "node:process";

let blockedAddresses: ReadonlySet<string> = new Set();
const openSockets = new Map<Socket, string>();

// deno-lint-ignore no-explicit-any
const prototype = Socket.prototype as any;
const connectSocket = prototype.connect;

prototype.connect = function (this: Socket, ...args: unknown[]) {
  const address = addressOf(args);
  if (address !== undefined && blockedAddresses.has(address)) {
    setImmediate(() => this.destroy(new Error(`${address} is cut off`)));
    return this;
  }
  if (address !== undefined) {
    openSockets.set(this, address);
    this.once("close", () => openSockets.delete(this));
  }
  return connectSocket.apply(this, args);
};

/** `net.connect` passes its arguments as an array with the options first. */
function addressOf(args: unknown[]): string | undefined {
  const first = Array.isArray(args[0]) ? args[0][0] : args[0];
  if (first === null || typeof first !== "object") return undefined;
  const { host, port } = first as { host?: string; port?: number | string };
  return port === undefined ? undefined : `${host ?? "127.0.0.1"}:${port}`;
}

process.on("message", (message: { cut?: readonly string[] }) => {
  if (message.cut === undefined) return;
  blockedAddresses = new Set(message.cut);
  for (const [socket, address] of openSockets) {
    if (blockedAddresses.has(address)) socket.destroy();
  }
});
// An open channel to the parent must not keep a stopping node running.
process.channel?.unref();
