/**
 * Open-loop load generator: sends calls at a steady rate, however slow the
 * answers are.
 * @module
 */
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";
import { build, type Histogram } from "hdr-histogram-js";
import { Agent } from "undici";
import { SettingKind, splitList } from "../src/settings/read_settings.ts";
import { runBinary } from "../src/settings/run_binary.ts";

/** Options of `runLoad`. */
export interface RunLoadOptions {
  /** Call addresses of nodes, used round-robin. */
  readonly nodes: readonly string[];
  readonly customer: string;
  readonly method: "GET" | "POST";
  /** Path that starts with the service, such as `/portaal/accounts`. */
  readonly path: string;
  /** Calls a second. */
  readonly rate: number;
  /**
   * Highest number of calls in flight. Calls due above it are dropped, as by
   * callers that wait for their answers. Without it, a stall of this process
   * would be followed by a burst of calls.
   */
  readonly maxInFlight?: number;
  /** Stops the load early. */
  readonly signal: AbortSignal;
  /** Length of the load, in milliseconds. */
  readonly durationMs: number;
  /** Served calls that take longer than this count as felt by the caller. */
  readonly slowMs?: number;
  /** Calls sent in this first part of the load are not counted as felt. */
  readonly settleMs?: number;
}

/** Outcomes of the calls. Latencies are in microseconds. */
export interface LoadReport {
  sent: number;
  served: number;
  /** Refused with the assurance that the call was not run. */
  notRun: number;
  failed: number;
  /** Calls sent after `settleMs`. */
  settled: number;
  /** Calls among `settled` that were not served or took over `slowMs`. */
  felt: number;
  /** Number of answers by version of the upstream. */
  readonly versions: Map<string, number>;
  readonly latencyUs: Histogram;
  /** Latencies of served calls only. */
  readonly servedUs: Histogram;
}

const MAX_TRACKED_US = 60_000_000;

/** Sends the load and waits for the last answer. */
export async function runLoad(opts: RunLoadOptions): Promise<LoadReport> {
  const agent = new Agent({ connections: 64 });
  const report: LoadReport = {
    sent: 0,
    served: 0,
    notRun: 0,
    failed: 0,
    settled: 0,
    felt: 0,
    versions: new Map(),
    latencyUs: build({ highestTrackableValue: MAX_TRACKED_US }),
    servedUs: build({ highestTrackableValue: MAX_TRACKED_US }),
  };
  const running = new Set<Promise<void>>();
  const startedAt = performance.now();
  let droppedCalls = 0;
  const callsDueBy = (at: number) =>
    Math.floor((at - startedAt) * opts.rate / 1000) - droppedCalls;
  while (!opts.signal.aborted) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= opts.durationMs) break;
    while (report.sent < callsDueBy(performance.now())) {
      if (running.size >= (opts.maxInFlight ?? Infinity)) {
        droppedCalls++;
        continue;
      }
      const isSettled = elapsedMs >= (opts.settleMs ?? 0);
      const call = sendCall(opts, agent, report, isSettled);
      running.add(call);
      call.finally(() => running.delete(call));
    }
    await sleep(1);
  }
  await Promise.all(running);
  await agent.close();
  return report;
}

async function sendCall(
  opts: RunLoadOptions,
  agent: Agent,
  report: LoadReport,
  isSettled: boolean,
) {
  const node = opts.nodes[report.sent % opts.nodes.length];
  report.sent++;
  const sentAt = performance.now();
  let isServed = false;
  try {
    const res = await agent.request({
      origin: `http://${node}`,
      method: opts.method,
      path: opts.path,
      headers: { "lagoon-customer": opts.customer },
    });
    await res.body.dump();
    const version = String(res.headers["lagoon-version"] ?? "");
    report.versions.set(version, (report.versions.get(version) ?? 0) + 1);
    if (res.headers["lagoon-not-run"] === "true") report.notRun++;
    else if (res.statusCode >= 400) report.failed++;
    else {
      report.served++;
      isServed = true;
    }
  } catch {
    report.failed++;
  }
  const tookUs = Math.round((performance.now() - sentAt) * 1_000);
  report.latencyUs.recordValue(Math.min(tookUs, MAX_TRACKED_US));
  if (isServed) report.servedUs.recordValue(Math.min(tookUs, MAX_TRACKED_US));
  if (!isSettled) return;
  report.settled++;
  const slowUs = (opts.slowMs ?? Infinity) * 1_000;
  if (!isServed || tookUs > slowUs) report.felt++;
}

if (process.argv[1]?.endsWith("load.js")) {
  await runBinary({
    binary: "lagoon-load",
    summary: "Sends calls at a steady rate and prints their outcomes.",
    specs: [
      {
        flag: "nodes",
        kind: SettingKind.Addresses,
        describe: "call addresses of nodes",
        isRequired: true,
      },
      {
        flag: "customer",
        kind: SettingKind.Text,
        describe: "customer that the calls name",
        isRequired: true,
      },
      {
        flag: "path",
        kind: SettingKind.Text,
        describe: "path that starts with the service",
        isRequired: true,
      },
      {
        flag: "rate",
        kind: SettingKind.Integer,
        describe: "calls a second",
        fallback: "100",
      },
      {
        flag: "seconds",
        kind: SettingKind.Integer,
        describe: "length of the load in seconds",
        fallback: "5",
      },
      {
        flag: "slow-ms",
        kind: SettingKind.Integer,
        describe: "calls that are not served within this time count as felt",
        fallback: "1000",
      },
      {
        flag: "settle-ms",
        kind: SettingKind.Integer,
        describe: "time from the start before felt calls are counted",
        fallback: "0",
      },
    ],
    main: async (values) => {
      const stopped = new AbortController();
      process.once("SIGINT", () => stopped.abort());
      const report = await runLoad({
        nodes: splitList(values.get("nodes")),
        customer: values.get("customer") ?? "",
        method: "GET",
        path: values.get("path") ?? "/",
        rate: Number(values.get("rate")),
        signal: stopped.signal,
        durationMs: Number(values.get("seconds")) * 1_000,
        slowMs: Number(values.get("slow-ms")),
        settleMs: Number(values.get("settle-ms")),
      });
      const { latencyUs, servedUs, versions, ...counts } = report;
      const at = (share: number) => latencyUs.getValueAtPercentile(share);
      const summary = {
        ...counts,
        versions: Object.fromEntries(versions),
        p50Ms: at(50) / 1_000,
        p99Ms: at(99) / 1_000,
        servedP99Ms: servedUs.getValueAtPercentile(99) / 1_000,
      };
      process.stdout.write(`${JSON.stringify(summary)}\n`);
    },
  });
}
