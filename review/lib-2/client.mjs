/** A client of a node: sends one request on a connection of its own. */
import { Buffer } from "node:buffer";
import { request } from "node:http";

let lastId = 0;

export function newId() {
  return `c${process.pid.toString(16)}${
    (++lastId).toString(16).padStart(8, "0")
  }`;
}

/**
 * Sends a request. Resolves with its status, headers and body; the status is 0
 * if the connection ended without a complete answer.
 */
export function send(opts) {
  const {
    address,
    host,
    path,
    method = "GET",
    deadlineMs = 1_000,
    headers = {},
  } = opts;
  const { body, record, machine } = opts;
  const id = opts.id ?? newId();
  const [ip, port] = address.split(":");
  const sentAt = Date.now();
  record?.add("sent", { machine, id, method, path });
  return new Promise((resolve) => {
    let isOver = false;
    const req = request({
      host: ip,
      port: Number(port),
      method,
      path,
      agent: false,
      headers: {
        host,
        "x-request-id": id,
        "x-deadline-ms": String(deadlineMs),
        ...headers,
      },
    });
    const finish = (status, extra = {}) => {
      if (isOver) return;
      isOver = true;
      clearTimeout(timer);
      const tookMs = Date.now() - sentAt;
      record?.add("answered", {
        machine,
        id,
        status,
        tookMs,
        reason: extra.reason,
      });
      req.destroy();
      resolve({ id, status, tookMs, ...extra });
    };
    const timer = setTimeout(
      () => finish(0, { reason: "deadline" }),
      deadlineMs + 1_000,
    );
    req.on("response", (res) => {
      const parts = [];
      res.on("data", (part) => parts.push(part));
      res.on("end", () =>
        finish(res.statusCode, {
          headers: res.headers,
          body: Buffer.concat(parts).toString(),
        }));
      res.on("error", (err) => finish(0, { reason: err.message }));
    });
    req.on("error", (err) => finish(0, { reason: err.message }));
    if (opts.write !== undefined) opts.write(req, finish);
    else req.end(body);
  });
}
