/**
 * Fake of the platform's append-only log that keeps its records in memory.
 * @module
 */
import { createServer, type IncomingMessage, type Server } from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import polka from "polka";
import { SettingKind } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";

interface Stream {
  /** Offset of the first record that is kept. */
  oldest: number;
  bodies: string[];
  /** Called at each append, to answer long polls. */
  waiters: Set<() => void>;
}

/** Options of `startFakeLog`. */
export interface StartFakeLogOptions {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
  /** Number of newest records kept of each stream. */
  readonly retention: number;
}

/** Faults set by a test, or by an operator through PUT /faults. */
export interface FakeLogFaults {
  /** Answers every request with status 503. */
  isOut: boolean;
  /** Appends take effect, but their connections close without a reply. */
  losesReplies: boolean;
  /** Delay before each answer, in milliseconds. */
  delayMs: number;
  /** Highest rate of appends, 0 for no limit. Requests above it wait. */
  appendsPerSecond: number;
  /** Delay before each append, in milliseconds. */
  appendDelayMs: number;
}

export interface FakeLog {
  readonly url: string;
  readonly faults: FakeLogFaults;
  readonly totals: { appends: number; reads: number; records: number };
  close(): Promise<void>;
}

/** Starts the fake log. Offsets start at 1. */
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
    const stream = { oldest: 1, bodies: [], waiters: new Set<() => void>() };
    streams.set(name, stream);
    return stream;
  }

  let lastAppendAt = 0;
  async function waitForAppendSlot() {
    const { appendsPerSecond, appendDelayMs } = faults;
    const now = performance.now();
    const gapMs = appendsPerSecond > 0 ? 1_000 / appendsPerSecond : 0;
    lastAppendAt = Math.max(now, lastAppendAt + gapMs);
    const waitMs = lastAppendAt - now + appendDelayMs;
    if (waitMs > 0) await sleep(waitMs);
  }

  app.use(async (_req, res, next) => {
    if (faults.delayMs > 0) await sleep(faults.delayMs);
    if (!faults.isOut) return next();
    res.writeHead(503);
    res.end("outage\n");
  });
  app.post("/streams/:name/records", async (req, res) => {
    await waitForAppendSlot();
    totals.appends++;
    const text = await readAll(req).catch(() => undefined);
    // The writer closed its connection before the body was complete.
    if (text === undefined) return;
    const body = JSON.parse(text) as { records: string[] };
    const stream = streamOf(String(req.params.name));
    const first = headOf(stream);
    stream.bodies.push(...body.records);
    totals.records += body.records.length;
    const surplus = Math.max(0, stream.bodies.length - opts.retention);
    stream.bodies.splice(0, surplus);
    stream.oldest += surplus;
    for (const wake of stream.waiters) wake();
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
    if (from >= headOf(stream) && waitMs > 0) await nextAppend(stream, waitMs);
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
      // Open long polls would delay the end of the process.
      const waiting = [...streams.values()].flatMap((one) => [...one.waiters]);
      for (const wake of waiting) wake();
      return closeNow(server);
    },
  };
}

function headOf(stream: Stream): number {
  return stream.oldest + stream.bodies.length;
}

/** Resolves at the next append to the stream, or after `waitMs`. */
async function nextAppend(stream: Stream, waitMs: number) {
  await new Promise<void>((resolve) => {
    const done = () => {
      clearTimeout(timer);
      stream.waiters.delete(done);
      resolve();
    };
    const timer = setTimeout(done, waitMs);
    stream.waiters.add(done);
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

/** Returns the port that a server listens on. */
export function portOf(server: Server): number {
  const address = server.address();
  return typeof address === "object" && address !== null ? address.port : 0;
}

/** Closes a server and its open connections. */
export async function closeNow(server: Server) {
  const closed = new Promise<void>((resolve) => server.close(() => resolve()));
  server.closeAllConnections();
  await closed;
}

if (process.argv[1]?.endsWith("fake_log.js")) {
  await runBinary({
    binary: "lagoon-fake-log",
    summary: "Fake of the platform's log that keeps records in memory.",
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
        describe: "number of records kept of each stream",
        fallback: "100000",
      },
    ],
    main: async (values) => {
      const log = await startFakeLog({
        host: "127.0.0.1",
        port: Number(values.get("port")),
        retention: Number(values.get("retention")),
      });
      process.stdout.write(`The fake log listens on ${log.url}.\n`);
      process.once("SIGTERM", () => log.close());
      process.once("SIGINT", () => log.close());
    },
  });
}
