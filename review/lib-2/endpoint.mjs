/**
 * Stand-in of an application endpoint, as PROTOCOL.md describes it: runs `slots`
 * requests at a time, queues a few more, pings its node, and crashes on request.
 */
import { Buffer } from "node:buffer";
import { createHash } from "node:crypto";
import { createServer } from "node:http";

/** Requests that wait for a slot; further ones are answered 503. */
const QUEUE = 24;

export function createEndpoint(opts) {
  const { ip, port, service, controlAddress, record } = opts;
  const { slots = 6, heartbeatMs = 1_500, backAfterMs = 3_000 } = opts;
  const address = `${ip}:${port}`;
  const sockets = new Set();
  let boots = 0;
  let id;
  let born = 0;
  let sequence = 0;
  let server;
  let pinger;
  let restart;
  let running = 0;
  let waiting = [];
  let isClosed = false;
  let state = "ready";

  async function post(path, body) {
    const res = await fetch(`http://${controlAddress}${path}`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(1_000),
    });
    await res.arrayBuffer();
    return res.status;
  }

  function ping() {
    return post(`/v1/instances/${id}/heartbeat`, describePing()).catch(() => 0);
  }

  async function slot(res) {
    if (running >= slots) {
      if (waiting.length >= QUEUE) return false;
      const isGone = await new Promise((resolve) => {
        const entry = { go: () => resolve(false) };
        waiting.push(entry);
        res.once("close", () => {
          waiting = waiting.filter((one) => one !== entry);
          resolve(true);
        });
      });
      if (isGone) return undefined;
    }
    running++;
    return true;
  }

  function release() {
    running--;
    waiting.shift()?.go();
  }

  function refuse(req, res, status) {
    req.resume();
    res.writeHead(status, { "x-not-executed": "1", "x-instance-id": id });
    res.end();
  }

  async function handle(req, res, boot) {
    const callId = req.headers["x-request-id"];
    const readAt = Date.now();
    res.setHeader("x-server-load", `${running},${waiting.length},${slots}`);
    if (req.url === "/health") {
      res.writeHead(200, { "x-instance-id": id });
      res.end();
      return;
    }
    if (callId === undefined) return refuse(req, res, 400);
    res.setHeader("x-request-id", callId);
    const wanted = req.headers["x-target-instance"];
    if (wanted !== undefined && wanted !== id) return refuse(req, res, 421);
    record.add("arrived", {
      endpoint: id,
      id: callId,
      path: req.url,
      method: req.method,
      deadlineMs: Number(req.headers["x-deadline-ms"]),
      caller: req.headers["x-caller-service"],
    });
    const got = await slot(res);
    if (got === undefined) return;
    if (!got) return refuse(req, res, 503);
    try {
      const plan = opts.plan?.(req, { id, version: opts.version ?? "v1" }) ??
        {};
      record.add("begins", { endpoint: id, id: callId, path: req.url });
      if (plan.crash) return crash(req);
      if (plan.readDelayMs > 0) {
        await new Promise((resolve) => setTimeout(resolve, plan.readDelayMs));
      }
      const parts = [];
      for await (const part of req) parts.push(part);
      const body = Buffer.concat(parts);
      const deadlineMs = Number(req.headers["x-deadline-ms"] ?? 60_000);
      await new Promise((resolve) => setTimeout(resolve, plan.workMs ?? 60));
      if (boot !== boots || res.destroyed) return;
      const leftMs = deadlineMs - (Date.now() - readAt);
      const isCallOk =
        await plan.calls?.({ id: callId, endpoint: id, leftMs }) ?? true;
      if (boot !== boots || res.destroyed) return;
      if (plan.losesAnswer) {
        record.add("answer lost", { endpoint: id, id: callId, path: req.url });
        req.socket.resetAndDestroy();
        return;
      }
      if (Date.now() - readAt > deadlineMs) {
        res.writeHead(504, { "x-server-stamp": `${id}.${callId}` });
        res.end("late");
        return;
      }
      const status = isCallOk ? plan.status ?? 200 : 500;
      const answer = `${id} ran ${callId} ${
        createHash("sha256").update(body).digest("hex")
      }`;
      record.add("ran", { endpoint: id, id: callId, path: req.url, status });
      res.writeHead(status, {
        "x-server-stamp": `${id}.${callId}`,
        "content-length": String(Buffer.byteLength(answer)),
      });
      res.end(answer);
    } catch {
      res.destroy();
    } finally {
      if (boot === boots) release();
    }
  }

  function stopServer() {
    clearInterval(pinger);
    boots++;
    server?.close();
    for (const socket of sockets) socket.resetAndDestroy();
    sockets.clear();
    running = 0;
    waiting = [];
  }

  function crash(req) {
    record.add("crashed", {
      endpoint: id,
      id: req.headers["x-request-id"],
      path: req.url,
      running,
    });
    stopServer();
    restart = setTimeout(() => void start(), backAfterMs);
  }

  async function start(nextId) {
    if (isClosed) return;
    const boot = ++boots;
    id = nextId ?? `i-${opts.name}-${boot}`;
    // Whole, and later than that of the start before.
    born = Math.max(Date.now(), born + 1);
    sequence = 0;
    state = "ready";
    server = createServer((req, res) => void handle(req, res, boot));
    server.keepAliveTimeout = 10_000;
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("error", () => {});
      socket.once("close", () => sockets.delete(socket));
    });
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, ip, resolve);
    });
    record.add("endpoint started", { endpoint: id, service });
    void ping();
    pinger = setInterval(ping, heartbeatMs);
  }

  /** The body of a ping that is sent now and may arrive later. */
  function describePing() {
    return {
      service,
      address,
      zone: opts.zone,
      version: opts.version ?? "v1",
      slots,
      state,
      coldRemainingMs: 0,
      sequence: ++sequence,
      born,
    };
  }

  /**
   * Sends the leave message first, and serves on without a ping. A ping from
   * before, `latePing`, arrives `lateMs` after it was sent.
   */
  async function leaveFirst({ lateMs, serveMs }) {
    clearInterval(pinger);
    const latePing = describePing();
    const leftId = id;
    const sentAt = Date.now();
    const status = await post(`/v1/instances/${leftId}/leave`, { born }).catch(
      () => 0,
    );
    record.add("leave answered", { endpoint: leftId, status });
    setTimeout(async () => {
      const got = await post(`/v1/instances/${leftId}/heartbeat`, latePing)
        .catch(() => 0);
      record.add("late ping answered", { endpoint: leftId, status: got });
    }, Math.max(0, lateMs - (Date.now() - sentAt)));
    setTimeout(() => {
      record.add("endpoint ended", { endpoint: leftId });
      isClosed = true;
      stopServer();
    }, serveMs);
    return status;
  }

  /** Drains, leaves and ends, as before a planned shutdown. */
  async function drain(drainMs) {
    state = "draining";
    for (let tries = 0; tries < 5 && await ping() !== 200; tries++);
    record.add("draining confirmed", { endpoint: id });
    await new Promise((resolve) => setTimeout(resolve, drainMs + 500));
    await post(`/v1/instances/${id}/leave`, { born }).catch(() => 0);
    record.add("endpoint ended", { endpoint: id });
    isClosed = true;
    stopServer();
  }

  return {
    start,
    stopServer,
    /** Stops to accept requests; pings go on. */
    closeServer() {
      server.close();
      for (const socket of sockets) socket.destroy();
    },
    drain,
    leaveFirst,
    ping,
    post,
    id: () => id,
    isUp: () => server?.listening === true,
    setState(next) {
      state = next;
    },
    close() {
      isClosed = true;
      clearTimeout(restart);
      stopServer();
    },
  };
}
