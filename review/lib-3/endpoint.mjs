/**
 * Stand-in of an application endpoint, as PROTOCOL.md describes it: slots and a
 * short queue, echoed ids, a stamp on each answer, refusals with
 * `X-Not-Executed`, pings, draining and leaving, and starts with a new id.
 * @module
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createServer } from "node:http";

const QUEUE = 24;

/**
 * Creates an endpoint that is not started yet.
 *
 * `onRun` is called when a run begins, and decides what it does: it returns
 * undefined to run as usual, or `{ crash: true }`, `{ workMs, status }`.
 * `onArrival` is called for each request.
 */
export function createEndpoint(opts) {
  const { name, host, port, service, pingAddress, record } = opts;
  const slots = opts.slots ?? 6;
  let version = opts.version ?? "v1";
  let server;
  let boot = 0;
  let id = "";
  let born = 0;
  let sequence = 0;
  let state = "ready";
  let running = 0;
  let pinger;
  const waiting = [];

  async function handle(req, res) {
    if (req.url === "/health") {
      const isHealthy = state === "ready";
      res.writeHead(isHealthy ? 200 : 503, { "x-instance-id": id }).end();
      return;
    }
    const callId = String(req.headers["x-request-id"]);
    opts.onArrival?.(callId);
    record("arrival", { endpoint: name, id: callId });
    const refuse = (status, headers = {}) => {
      req.resume();
      res.writeHead(status, {
        "x-request-id": callId,
        "x-not-executed": "1",
        ...headers,
      }).end();
    };
    const target = req.headers["x-target-instance"];
    if (target !== undefined && target !== id) {
      return refuse(421, { "x-instance-id": id });
    }
    const parts = [];
    for await (const part of req) parts.push(part);
    const body = Buffer.concat(parts);
    if (running >= slots) {
      if (waiting.length >= QUEUE) return refuse(503);
      await new Promise((resolve) => waiting.push(resolve));
    }
    running++;
    let isGone = false;
    res.once("close", () => isGone = !res.writableFinished);
    try {
      const run = {
        at: Date.now(),
        endpoint: name,
        instance: id,
        service,
        version,
        id: callId,
        method: req.method,
        target: req.url,
        caller: req.headers["x-caller-service"],
        deadlineMs: Number(req.headers["x-deadline-ms"]),
        bytes: body.length,
        sha: createHash("sha256").update(body).digest("hex").slice(0, 12),
      };
      const plan = opts.onRun?.(run) ?? {};
      record("run", { ...run, crash: plan.crash === true });
      if (plan.crash === true) return crash();
      await sleep(plan.workMs ?? opts.workMs ?? 20);
      const status = plan.status ?? 200;
      if (isGone) return;
      const text = `${name} ran ${callId}`;
      res.writeHead(status, {
        "x-request-id": callId,
        "x-server-stamp": `${id}.${callId}`,
        "x-server-load": `${running},${waiting.length},${slots}`,
        "content-length": String(text.length),
      });
      res.end(text);
    } finally {
      running--;
      waiting.shift()?.();
    }
  }

  /** Ends all connections at once; the endpoint is back after a while. */
  function crash() {
    record("crash", { endpoint: name, instance: id });
    stop();
    setTimeout(() => start(), opts.restartMs ?? 2_000).unref();
  }

  function stop() {
    clearInterval(pinger);
    server?.close();
    server?.closeAllConnections();
    server = undefined;
    running = 0;
    for (const resume of waiting.splice(0)) resume();
  }

  /** Starts a boot: under a new id or the last one, with or without pings. */
  async function start({ isSameId = false, isPinging = true } = {}) {
    if (isClosed || server !== undefined) return;
    boot++;
    if (!isSameId) id = `${name}-${boot}`;
    born = Date.now();
    sequence = 0;
    state = "ready";
    running = 0;
    server = createServer((req, res) => {
      handle(req, res).catch(() => res.destroy());
    });
    await new Promise((resolve) => server.listen(port, host, resolve));
    if (!isPinging) return;
    await ping();
    pinger = setInterval(() => ping(), 1_500);
  }

  async function post(path, body) {
    try {
      const res = await fetch(`http://${pingAddress}${path}`, {
        method: "POST",
        headers: { "content-type": "application/json" },
        body: JSON.stringify(body),
        signal: AbortSignal.timeout(1_000),
      });
      await res.arrayBuffer();
      return res.status;
    } catch {
      return 0;
    }
  }

  function pathOf(verb) {
    return `/v1/instances/${id}/${verb}`;
  }

  /** Sends a ping; it arrives after `delayMs`. Resolves with the status. */
  async function ping(delayMs = 0) {
    const path = pathOf("heartbeat");
    const body = {
      service,
      address: `${host}:${port}`,
      zone: opts.zone,
      version,
      slots,
      state,
      coldRemainingMs: 0,
      sequence: ++sequence,
      born,
    };
    if (delayMs > 0) await sleep(delayMs);
    return post(path, body);
  }

  let isClosed = false;
  return {
    name,
    /** Stops listening; pings go on. */
    closeServer() {
      server?.close();
      server?.closeAllConnections();
    },
    address: () => `${host}:${port}`,
    id: () => id,
    start,
    /** Ends the boot without a word. */
    kill: stop,
    ping,
    /** Announces that the endpoint drains; resolves with the status. */
    drain() {
      state = "draining";
      return ping();
    },
    leave: () => post(pathOf("leave"), { service, born }),
    setVersion: (next) => version = next,
    close() {
      isClosed = true;
      stop();
    },
  };
}

export function sleep(ms) {
  return new Promise((resolve) => setTimeout(resolve, ms));
}
