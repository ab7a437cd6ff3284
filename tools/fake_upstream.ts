/**
 * Fake upstream: announces itself to a node, answers calls and injects faults.
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

/** Faults that a fake upstream injects. Shares are from 0 to 1. */
export interface UpstreamFaults {
  /** Share of calls that fail with status 500. */
  errorShare: number;
  /** Share of calls that are never answered. */
  hangShare: number;
  /** Delay added to each call, in milliseconds. */
  delayMs: number;
  /** Only calls whose path starts with this prefix are faulty. */
  path: string;
}

/** Options of `startFakeUpstream`. */
export interface StartFakeUpstreamOptions {
  readonly host: string;
  /** 0 for any free port. */
  readonly port: number;
  readonly service: string;
  readonly version: string;
  readonly slots: number;
  readonly connections: number;
  /**
   * Admin addresses of its home node (the node on the same VM) and of other
   * nodes. An announcement goes to the first that accepts it.
   */
  readonly homes: readonly string[];
  readonly key?: string;
  /** Run time of a call without faults, in milliseconds. */
  readonly serviceMs: number;
  readonly faults: UpstreamFaults;
}

export interface FakeUpstream {
  readonly endpoint: string;
  readonly faults: UpstreamFaults;
  readonly totals: { calls: number; running: number };
  /** Idempotency keys of all runs in order, with a key for each of its runs. */
  readonly keysRun: readonly string[];
  /** Announces that it is draining, then waits for its running calls. */
  drain(): Promise<void>;
  close(): Promise<void>;
}

export const NO_FAULTS: UpstreamFaults = {
  errorShare: 0,
  hangShare: 0,
  delayMs: 0,
  path: "/",
};

const ANNOUNCEMENT_INTERVAL_MS = 1_000;

/** Starts the fake upstream and its announcements. */
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
    answerCall(opts, faults, req, res).catch(() => res.destroy());
  });
  await new Promise<void>((resolve) =>
    server.listen(opts.port, opts.host, () => resolve())
  );
  const endpoint = `${opts.host}:${portOf(server)}`;
  let state: EndpointState = EndpointState.Ready;

  async function announce() {
    for (const home of opts.homes) {
      const isAccepted = await sendAnnouncement(opts, home, {
        endpoint,
        service: opts.service,
        version: opts.version,
        slots: opts.slots,
        connections: opts.connections,
        state,
        load: Math.min(1, totals.running / opts.slots),
        healthy: true,
      });
      if (isAccepted) return;
    }
  }
  await announce();
  const timer = setInterval(announce, ANNOUNCEMENT_INTERVAL_MS);

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

async function sendAnnouncement(
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
      headersTimeout: ANNOUNCEMENT_INTERVAL_MS,
      bodyTimeout: ANNOUNCEMENT_INTERVAL_MS,
    });
    await res.body.dump();
    return res.statusCode === 200;
  } catch {
    return false;
  }
}

async function answerCall(
  opts: StartFakeUpstreamOptions,
  faults: UpstreamFaults,
  req: IncomingMessage,
  res: ServerResponse,
) {
  let bytes = 0;
  for await (const chunk of req) bytes += chunk.length;
  const isFaulty = (req.url ?? "/").startsWith(faults.path);
  const draw = Math.random();
  if (isFaulty && draw < faults.hangShare) return;
  await sleep(opts.serviceMs + (isFaulty ? faults.delayMs : 0));
  const isFailing = isFaulty && draw < faults.hangShare + faults.errorShare;
  res.writeHead(isFailing ? 500 : 200, { "content-type": "application/json" });
  const { service, version } = opts;
  res.end(JSON.stringify({ service, version, path: req.url, bytes }));
}

if (process.argv[1]?.endsWith("fake_upstream.js")) {
  await runBinary({
    binary: "lagoon-fake-upstream",
    summary: "Fake upstream on 127.0.0.1.",
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
        describe: "name of the service",
        isRequired: true,
      },
      {
        flag: "version",
        kind: SettingKind.Text,
        describe: "version of the service",
        isRequired: true,
      },
      {
        flag: "homes",
        kind: SettingKind.Addresses,
        describe: "admin addresses of its home node and of other nodes",
        isRequired: true,
      },
      { flag: "key", kind: SettingKind.Text, describe: "shared key" },
      {
        flag: "slots",
        kind: SettingKind.Integer,
        describe: "highest number of calls run at once",
        fallback: "6",
      },
      {
        flag: "connections",
        kind: SettingKind.Integer,
        describe: "highest number of connections",
        fallback: "100",
      },
      {
        flag: "service-ms",
        kind: SettingKind.Integer,
        describe: "run time of a call in milliseconds",
        fallback: "2",
      },
      {
        flag: "error-percent",
        kind: SettingKind.Integer,
        describe: "percentage of calls that fail",
        fallback: "0",
      },
      {
        flag: "hang-percent",
        kind: SettingKind.Integer,
        describe: "percentage of calls that are never answered",
        fallback: "0",
      },
      {
        flag: "delay-ms",
        kind: SettingKind.Integer,
        describe: "delay added to each call in milliseconds",
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
      process.stdout.write(
        `The fake upstream listens on ${upstream.endpoint}.\n`,
      );
      const stop = async () => {
        await upstream.drain();
        await upstream.close();
      };
      process.once("SIGTERM", stop);
      process.once("SIGINT", stop);
    },
  });
}
