/**
 * Stand-in for an upstream: announces itself, answers calls and can be faulty.
 * @module
 */
import {
  createServer,
  type IncomingMessage,
  type ServerResponse,
} from "node:http";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { EndpointState } from "../src/core/types.ts";
import { SettingKind, splitList } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";
import { closeNow, portOf } from "./fake_log.ts";

/** How a stand-in misbehaves. Shares are from 0 to 1. */
export interface UpstreamFaults {
  /** Share of calls that fail with status 500. */
  errorShare: number;
  /** Share of calls that never get an answer. */
  hangShare: number;
  /** Time added to each call, in milliseconds. */
  delayMs: number;
  /** Path prefix that the faults are limited to. */
  path: string;
}

/** Options of `startFakeUpstream`. */
export interface StartFakeUpstreamOptions {
  readonly host: string;
  /** 0 takes any free port. */
  readonly port: number;
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  readonly connections: number;
  /** Operators' ports of its home and of other nodes, tried in order. */
  readonly homes: readonly string[];
  readonly key?: string;
  /** Time of a healthy call, in milliseconds. */
  readonly serviceMs: number;
  readonly faults: UpstreamFaults;
}

export interface FakeUpstream {
  readonly endpoint: string;
  readonly faults: UpstreamFaults;
  readonly totals: { calls: number; running: number };
  /** Idempotency keys in the order of their runs, repeats included. */
  readonly keysRun: readonly string[];
  /** Announces that it leaves, and finishes its calls. */
  drain(): Promise<void>;
  close(): Promise<void>;
}

/** No faults at all. */
export const NO_FAULTS: UpstreamFaults = {
  errorShare: 0,
  hangShare: 0,
  delayMs: 0,
  path: "/",
};

const announceMs = 1_000;

/** Starts the stand-in and its announcements. */
export async function startFakeUpstream(
  opts: StartFakeUpstreamOptions,
): Promise<FakeUpstream> {
  const faults = { ...opts.faults };
  const totals = { calls: 0, running: 0 };
  const keysRun: string[] = [];
  const server = createServer((req, res) => {
    totals.calls++;
    totals.running++;
    const key = req.headers["idempotency-key"];
    if (typeof key === "string") keysRun.push(key);
    res.once("close", () => totals.running--);
    answer(opts, faults, req, res).catch(() => res.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(opts.port, opts.host, () => resolve())
  );
  const endpoint = `${opts.host}:${portOf(server)}`;
  let state: EndpointState = EndpointState.Ready;

  async function announce() {
    for (const home of opts.homes) {
      const isTaken = await tellHome(opts, home, {
        endpoint,
        service: opts.service,
        version: opts.version,
        slots: opts.slots,
        connections: opts.connections,
        state,
        load: Math.min(1, totals.running / opts.slots),
        healthy: true,
      });
      if (isTaken) return;
    }
  }
  await announce();
  const timer = setInterval(announce, announceMs);

  return {
    endpoint,
    faults,
    totals,
    keysRun,
    async drain() {
      state = EndpointState.Draining;
      await announce();
      while (totals.running > 0) await sleep(10);
    },
    async close() {
      clearInterval(timer);
      await closeNow(server);
    },
  };
}

async function tellHome(
  opts: StartFakeUpstreamOptions,
  home: string,
  announcement: unknown,
): Promise<boolean> {
  try {
    const res = await request(`http://${home}/v1/announcements`, {
      method: "PUT",
      headers: {
        "content-type": "application/json",
        ...(opts.key === undefined
          ? {}
          : { authorization: `Bearer ${opts.key}` }),
      },
      body: JSON.stringify(announcement),
      headersTimeout: announceMs,
      bodyTimeout: announceMs,
    });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

async function answer(
  opts: StartFakeUpstreamOptions,
  faults: UpstreamFaults,
  req: IncomingMessage,
  res: ServerResponse,
) {
  let bytes = 0;
  for await (const chunk of req) bytes += chunk.length;
  const isFaulty = (req.url ?? "/").startsWith(faults.path);
  const chance = Math.random();
  if (isFaulty && chance < faults.hangShare) return;
  await sleep(opts.serviceMs + (isFaulty ? faults.delayMs : 0));
  const isFailed = isFaulty && chance < faults.hangShare + faults.errorShare;
  res.writeHead(isFailed ? 500 : 200, { "content-type": "application/json" });
  const { service, version } = opts;
  res.end(JSON.stringify({ service, version, path: req.url, bytes }));
}

if (process.argv[1]?.endsWith("fake_upstream.js")) {
  await runBinary({
    binary: "lagoon-fake-upstream",
    summary: "Stand-in for an upstream, on 127.0.0.1.",
    specs: [
      {
        flag: "port",
        kind: SettingKind.Integer,
        describe: "port on 127.0.0.1, 0 for any",
        fallback: "0",
      },
      {
        flag: "service",
        kind: SettingKind.Text,
        describe: "service that it belongs to",
        isRequired: true,
      },
      {
        flag: "version",
        kind: SettingKind.Text,
        describe: "its version",
        isRequired: true,
      },
      {
        flag: "homes",
        kind: SettingKind.Addresses,
        describe: "operators' ports of its home and of other nodes",
        isRequired: true,
      },
      { flag: "key", kind: SettingKind.Text, describe: "shared key" },
      {
        flag: "slots",
        kind: SettingKind.Integer,
        describe: "calls run at once",
        fallback: "6",
      },
      {
        flag: "connections",
        kind: SettingKind.Integer,
        describe: "connections accepted",
        fallback: "100",
      },
      {
        flag: "service-ms",
        kind: SettingKind.Integer,
        describe: "time of a call in milliseconds",
        fallback: "2",
      },
      {
        flag: "error-percent",
        kind: SettingKind.Integer,
        describe: "share of calls that fail",
        fallback: "0",
      },
      {
        flag: "hang-percent",
        kind: SettingKind.Integer,
        describe: "share of calls that hang",
        fallback: "0",
      },
      {
        flag: "delay-ms",
        kind: SettingKind.Integer,
        describe: "time added to a call in milliseconds",
        fallback: "0",
      },
    ],
    main: async (values) => {
      const number = (flag: string) => Number(values.get(flag));
      const key = values.get("key");
      const upstream = await startFakeUpstream({
        host: "127.0.0.1",
        port: number("port"),
        service: values.get("service") ?? "",
        version: values.get("version") ?? "",
        slots: number("slots"),
        connections: number("connections"),
        homes: splitList(values.get("homes")),
        ...(key === undefined ? {} : { key }),
        serviceMs: number("service-ms"),
        faults: {
          errorShare: number("error-percent") / 100,
          hangShare: number("hang-percent") / 100,
          delayMs: number("delay-ms"),
          path: "/",
        },
      });
      process.stdout.write(`The upstream listens at ${upstream.endpoint}.\n`);
      const stop = async () => {
        await upstream.drain();
        await upstream.close();
      };
      process.once("SIGTERM", stop);
      process.once("SIGINT", stop);
    },
  });
}
