/**
 * Stand-in for the clients of a machine. They keep connections open, state a
 * deadline, and honour `Retry-After` after a promise that a request has not
 * run.
 * @module
 */
import { Agent, request } from "node:http";
import { sleep } from "./endpoint.mjs";

/** Statuses that promise that a request has not run and never will. */
export const NOT_RUN = new Set([408, 421, 429, 503]);

let lastId = 0;
const runPrefix = Date.now().toString(16).slice(-6);

export function newId() {
  return `${runPrefix}${(++lastId).toString(16).padStart(6, "0")}`;
}

/** Creates the clients of one machine. */
export function createClients({ record, machine }) {
  const agent = new Agent({ keepAlive: true, maxSockets: 200 });

  /**
   * Sends one attempt. Resolves with its status, or with status 0 if the
   * connection ended without a complete answer.
   */
  function send({ method, path, deadlineMs, body, pieces }) {
    const id = newId();
    const [host, port] = machine.outbound.split(":");
    const sentAt = performance.now();
    return new Promise((resolve) => {
      let isOver = false;
      const end = (status, fields = {}) => {
        if (isOver) return;
        isOver = true;
        clearTimeout(timer);
        const tookMs = Math.round(performance.now() - sentAt);
        const isKept = req.reusedSocket;
        record.write(
          "answer",
          id,
          machine.name,
          path,
          fields.why ?? `status=${status}`,
          `tookMs=${tookMs}`,
          isKept ? "kept connection" : "new connection",
        );
        resolve({ id, status, tookMs, isKept, ...fields });
      };
      const headers = {
        host: machine.host,
        "x-request-id": id,
        "x-deadline-ms": String(deadlineMs),
      };
      if (body !== undefined) headers["content-length"] = String(body.length);
      record.write("send", id, machine.name, method, path);
      const req = request({ host, port, agent, method, path, headers });
      const timer = setTimeout(() => {
        end(0, { why: "deadline" });
        req.destroy();
      }, deadlineMs);
      req.on("error", (err) => end(0, { why: `closed:${err.code}` }));
      req.on("response", (res) => {
        const parts = [];
        res.on("data", (part) => parts.push(part));
        res.on("error", (err) => end(0, { why: `cut:${err.code}` }));
        res.on("close", () => end(0, { why: "cut" }));
        res.on("end", () => {
          if (!res.complete) return end(0, { why: "cut" });
          end(res.statusCode, {
            stamp: res.headers["x-server-stamp"],
            retryAfterMs: Number(res.headers["retry-after"] ?? 0) * 1_000,
            body: Buffer.concat(parts),
          });
        });
      });
      void write(req, body, pieces);
    });
  }

  /** Writes the body, in `pieces` over time if given. */
  async function write(req, body, pieces) {
    if (body === undefined) return req.end();
    const { count = 1, everyMs = 0 } = pieces ?? {};
    const size = Math.ceil(body.length / count);
    for (let part = 0; part < count; part++) {
      if (part > 0) await sleep(everyMs);
      if (req.destroyed) return;
      req.write(body.subarray(part * size, (part + 1) * size));
    }
    req.end();
  }

  return { send };
}

/** Starts `perS` requests a second until `isOver` returns true. */
export async function pressUntil(isOver, perS, start) {
  const begunAt = performance.now();
  for (let count = 0; !isOver(); count++) {
    const waitMs = begunAt + count * 1_000 / perS - performance.now();
    if (waitMs > 0) await sleep(waitMs);
    start();
  }
}
