/**
 * Stand-in for an endpoint beside a sidecar: runs requests in slots, pings its
 * node, and keeps to PROTOCOL.md.
 * @module
 */
import { createServer } from "node:http";

const QUEUE = 24;
const IDLE_CLOSE_MS = 10_000;

/** Starts the endpoint on loopback. */
export async function startEndpoint(opts) {
  const { record, id, service, zone, port, control } = opts;
  const { slots = 6, workMs = 60, version = "v1" } = opts;
  const sockets = new Set();
  const waiting = [];
  let running = 0;
  let sequence = 0;
  let slowness = 1;
  let server;
  let born = 0;
  let timer;
  let isStopped = false;
  let boot = 0;
  /** Resolves when the machine runs again; undefined while it runs. */
  let thaw;
  let endFreeze = () => {};

  /** Waits for a slot, or returns false if the queue is full. */
  async function takeSlot() {
    if (running < slots) {
      running++;
      return true;
    }
    if (waiting.length >= QUEUE) return false;
    await new Promise((resolve) => waiting.push(resolve));
    return true;
  }

  function freeSlot() {
    const next = waiting.shift();
    if (next === undefined) running--;
    else next();
  }

  async function handle(req, res) {
    const requestId = req.headers["x-request-id"];
    const arrivedAt = performance.now();
    if (req.url === "/health") {
      res.writeHead(200, { "x-instance-id": id }).end();
      return;
    }
    res.setHeader("x-request-id", requestId ?? "");
    res.setHeader("x-server-load", `${running},${waiting.length},${slots}`);
    const refuse = (status) => {
      req.resume();
      res.writeHead(status, { "x-not-executed": "1", "x-instance-id": id });
      res.end();
    };
    if (requestId === undefined) return refuse(400);
    const target = req.headers["x-target-instance"];
    if (target !== undefined && target !== id) return refuse(421);
    let isLeft = false;
    res.once("close", () => isLeft = !res.writableFinished);
    const parts = [];
    try {
      for await (const part of req) parts.push(part);
    } catch {
      return;
    }
    const body = Buffer.concat(parts);
    if (!await takeSlot()) return refuse(503);
    const ownBoot = boot;
    try {
      const deadlineMs = Number(req.headers["x-deadline-ms"] ?? Infinity);
      if (isLeft) return;
      if (performance.now() - arrivedAt >= deadlineMs) return refuse(503);
      const caller = req.headers["x-caller-service"];
      record.write("run", requestId, id, req.url, `caller=${caller}`);
      const context = { id, service, body, crash, work };
      const outcome = await opts.run?.(req, res, context, slowness);
      if (outcome === undefined) await answer(req, res, body);
      if (boot === ownBoot) {
        record.write("ran", requestId, id, isLeft ? "caller left" : "answered");
      }
    } finally {
      if (boot === ownBoot) freeSlot();
    }
  }

  /** Works for a while. A frozen machine does no work. */
  async function work(ms) {
    await sleep(ms);
    while (thaw !== undefined) await thaw;
  }

  async function answer(req, res, body) {
    const spread = 0.85 + 0.3 * Math.random();
    await work(workMs * spread * slowness);
    res.writeHead(200, { "x-server-stamp": `${id}.${service}` });
    res.end(`${id} ${req.url} ${body.length}`);
  }

  async function listen() {
    boot++;
    running = 0;
    waiting.length = 0;
    born = Date.now();
    sequence = 0;
    server = createServer({ keepAliveTimeout: IDLE_CLOSE_MS }, (req, res) => {
      handle(req, res).catch(() => res.destroy());
    });
    server.on("connection", (socket) => {
      sockets.add(socket);
      socket.on("close", () => sockets.delete(socket));
      socket.on("error", () => {});
    });
    await new Promise((resolve, reject) => {
      server.once("error", reject);
      server.listen(port, "127.0.0.1", resolve);
    });
    ping();
    // Endpoints do not ping at the same moment.
    timer = setTimeout(() => {
      timer = setInterval(ping, opts.heartbeatMs);
      ping();
    }, Math.random() * opts.heartbeatMs);
  }

  /** Describes the endpoint in its next ping. */
  function describe() {
    return {
      service,
      address: `127.0.0.1:${port}`,
      zone,
      version,
      slots,
      state: "ready",
      coldRemainingMs: 0,
      sequence: ++sequence,
      born,
    };
  }

  /** Sends a ping or a leave message. Resolves with the status, if any. */
  async function send(body, verb = "heartbeat") {
    const url = `http://${control}/v1/instances/${id}/${verb}`;
    const answered = await fetch(url, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify(body),
      signal: AbortSignal.timeout(1_000),
    }).catch(() => undefined);
    await answered?.arrayBuffer().catch(() => undefined);
    record.write(
      "said",
      id,
      verb,
      `sequence=${body.sequence}`,
      answered?.status,
    );
    return answered?.status;
  }

  function ping() {
    if (thaw === undefined) void send(describe());
  }

  /** Tells the node that the endpoint leaves, and pings no more. */
  function leave() {
    clearTimeout(timer);
    return send({ born }, "leave");
  }

  function stop() {
    isStopped = true;
    clearTimeout(timer);
    server.close();
    for (const socket of sockets) socket.resetAndDestroy();
  }

  /** Ends like a crashed process; the endpoint starts again after a while. */
  function crash(downMs) {
    if (isStopped) return;
    record.write("crash", id, `down for ${downMs} ms`);
    stop();
    setTimeout(async () => {
      isStopped = false;
      await listen();
      record.write("endpoint started again", id);
    }, downMs);
  }

  await listen();
  return {
    id,
    stop,
    crash,
    describe,
    send,
    leave,
    freeze() {
      thaw = new Promise((resolve) => endFreeze = resolve);
    },
    thaw() {
      thaw = undefined;
      endFreeze();
    },
    /** Makes work take `x` times as long. */
    setSlowness(x) {
      record.write("slowness", id, `x=${x}`);
      slowness = x;
    },
  };
}

export const sleep = (ms) => new Promise((resolve) => setTimeout(resolve, ms));
