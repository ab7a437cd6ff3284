/**
 * Stand-in for the platform's append-only log, in memory.
 * @module
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";

interface Stream {
  oldest: number;
  bodies: string[];
  waiting: Set<() => void>;
}

/** Options of `startFakeLog`. */
export interface StartFakeLogOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  /** Records kept of each stream. */
  readonly retention: number;
}

/** Faults that a test or a person switches on. */
export interface FakeLogFaults {
  /** Refuses everything. */
  isOut: boolean;
  /** Appends take effect, but their replies are lost. */
  losesReplies: boolean;
  /** Added to each answer, in milliseconds. */
  delayMs: number;
  /** Most append requests a second, 0 for no limit. More wait their turn. */
  appendsPerSecond: number;
  /** Added to each append, in milliseconds. */
  appendDelayMs: number;
}

export interface FakeLog {
  readonly url: string;
  readonly faults: FakeLogFaults;
  readonly totals: { appends: number; reads: number; records: number };
  close(): Promise<void>;
}

/** Starts the stand-in. Offsets start at 1. */
export async function startFakeLog(
  opts: StartFakeLogOptions,
): Promise<FakeLog> {
  const streams = new Map<string, Stream>();
  const faults: FakeLogFaults = {
    isOut: false,
    losesReplies: false,
    delayMs: 0,
    appendsPerSecond: 0,
    appendDelayMs: 0,
  };
  const totals = { appends: 0, reads: 0, records: 0 };
  const server = createServer();
  const app = polka({ server });

  function streamOf(name: string): Stream {
    const known = streams.get(name);
    if (known !== undefined) return known;
    const stream = { oldest: 1, bodies: [], waiting: new Set<() => void>() };
    streams.set(name, stream);
    return stream;
  }

  let lastTurn = 0;
  async function appendTurn() {
    const { appendsPerSecond, appendDelayMs } = faults;
    const now = performance.now();
    const gapMs = appendsPerSecond > 0 ? 1_000 / appendsPerSecond : 0;
    lastTurn = Math.max(now, lastTurn + gapMs);
    const waitMs = lastTurn - now + appendDelayMs;
    if (waitMs > 0) await sleep(waitMs);
  }

  app.use(async (_req, res, next) => {
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (!faults.isOut) return next();
    res.writeHead(503);
    res.end("outage\n");
  });
  app.post("/streams/:name/records", async (req, res) => {
    await appendTurn();
    totals.appends++;
    const text = await readAll(req).catch(() => undefined);
    // The writer left in the middle of its request.
    if (text === undefined) return;
    const body = JSON.parse(text) as { records: string[] };
    const stream = streamOf(String(req.params.name));
    const first = headOf(stream);
    stream.bodies.push(...body.records);
    totals.records += body.records.length;
    const surplus = Math.max(0, stream.bodies.length - opts.retention);
    stream.bodies.splice(0, surplus);
    stream.oldest += surplus;
    for (const wake of stream.waiting) wake();
    if (faults.losesReplies) res.destroy();
    else sendJson(res, 200, { first });
  });
  app.get("/streams/:name/records", async (req, res) => {
    totals.reads++;
    const stream = streamOf(String(req.params.name));
    const query = new URL(req.url, "http://log").searchParams;
    const from = Number(query.get("from") ?? 1);
    const max = Number(query.get("max") ?? 100);
    const waitMs = Number(query.get("wait_ms") ?? 0);
    if (from >= headOf(stream) && waitMs > 0) await news(stream, waitMs);
    const { oldest } = stream;
    const head = headOf(stream);
    if (from < oldest) return sendJson(res, 410, { oldest, head });
    const records = stream.bodies.slice(from - oldest, from - oldest + max)
      .map((body, index) => ({ offset: from + index, body }));
    sendJson(res, 200, { records, oldest, head });
  });
  app.put("/faults", async (req, res) => {
    Object.assign(faults, JSON.parse(await readAll(req)));
    sendJson(res, 200, faults);
  });
  app.get("/totals", (_req, res) => sendJson(res, 200, totals));

  await new Promise<void>((resolve) =>
    app.listen(opts.port, opts.host, () => resolve())
  );
  return {
    url: `http://${opts.host}:${portOf(server)}`,
    faults,
    totals,
    close() {
      // Readers in a long poll would hold the process up.
      const waiting = [...streams.values()].flatMap((one) => [...one.waiting]);
      for (const wake of waiting) wake();
      return closeNow(server);
    },
  };
}

function headOf(stream: Stream): number {
  return stream.oldest + stream.bodies.length;
}

/** Resolves at the next append, or when the wait is over. */
async function news(stream: Stream, waitMs: number) {
  await new Promise<void>((resolve) => {
    const done = () => {
      clearTimeout(timer);
      stream.waiting.delete(done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    stream.waiting.add(done);
  });
}

async function readAll(req: IncomingMessage): Promise<string> {
  const chunks: Buffer[] = [];
  for await (const chunk of req) chunks.push(chunk);
  return Buffer.concat(chunks).toString();
}

interface JsonTarget {
  writeHead(status: number, headers: Record<string, string>): unknown;
  end(text: string): unknown;
}

function sendJson(res: JsonTarget, status: number, body: unknown) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** Port that a listening server got. */
export function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}

/** Closes a server with its connections. */
export async function closeNow(server: Server) {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}

if (process.argv[1]?.endsWith("fake_log.js")) {
  await runBinary({
    binary: "lagoon-fake-log",
    summary: "Stand-in for the platform's log. Keeps records in memory.",
    specs: [
      {
        flag: "port",
        kind: SettingKind.Integer,
        describe: "port on 127.0.0.1",
        fallback: "7900",
      },
      {
        flag: "retention",
        kind: SettingKind.Integer,
        describe: "records kept of each stream",
        fallback: "100000",
      },
    ],
    main: async (values) => {
      const log = await startFakeLog({
        host: "127.0.0.1",
        port: Number(values.get("port")),
        retention: Number(values.get("retention")),
      });
      process.stdout.write(`The log listens at ${log.url}.\n`);
      process.once("SIGTERM", () => log.close());
      process.once("SIGINT", () => log.close());
    },
  });
}
