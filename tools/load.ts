/**
 * Open-loop load: calls leave at a steady rate, whatever the answers do.
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
  /** Callers' ports, used in turn. */
  readonly nodes: readonly string[];
  readonly customer: string;
  readonly method: "GET" | "POST";
  /** Path with the service, such as `/portaal/accounts`. */
  readonly path: string;
  /** Calls a second. */
  readonly rate: number;
  /**
   * Calls in flight at most. What is due beyond it is left out, as callers do
   * that wait for their answers: a tool that stalled sends no burst after it.
   */
  readonly maxInFlight?: number;
  /** Ends the load early. */
  readonly signal: AbortSignal;
  /** Length of the load, in milliseconds. */
  readonly durationMs: number;
  /** Calls sent after `settleMs` that fail or take longer are felt. */
  readonly slowMs?: number;
  readonly settleMs?: number;
}

/** What the calls came to. Latencies are in microseconds. */
export interface LoadReport {
  sent: number;
  served: number;
  /** Refused as not run. */
  notRun: number;
  failed: number;
  /** Calls sent after `settleMs`, and those of them that were felt. */
  settled: number;
  felt: number;
  /** Answers by version of the upstream. */
  readonly versions: Map<string, number>;
  readonly latencyUs: Histogram;
  /** Latencies of served calls alone. */
  readonly servedUs: Histogram;
}

const maxTrackedUs = 60_000_000;

/** Runs the load and waits for its last answer. */
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
    latencyUs: build({ highestTrackableValue: maxTrackedUs }),
    servedUs: build({ highestTrackableValue: maxTrackedUs }),
  };
  const running = new Set<Promise<void>>();
  const startedAt = performance.now();
  let leftOut = 0;
  const dueBy = (at: number) =>
    Math.floor((at - startedAt) * opts.rate / 1000) - leftOut;
  while (!opts.signal.aborted) {
    const elapsedMs = performance.now() - startedAt;
    if (elapsedMs >= opts.durationMs) break;
    while (report.sent < dueBy(performance.now())) {
      if (running.size >= (opts.maxInFlight ?? Infinity)) {
        leftOut++;
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
  report.latencyUs.recordValue(Math.min(tookUs, maxTrackedUs));
  if (isServed) report.servedUs.recordValue(Math.min(tookUs, maxTrackedUs));
  if (!isSettled) return;
  report.settled++;
  const slowUs = (opts.slowMs ?? Infinity) * 1_000;
  if (!isServed || tookUs > slowUs) report.felt++;
}

if (process.argv[1]?.endsWith("load.js")) {
  await runBinary({
    binary: "lagoon-load",
    summary: "Sends calls at a steady rate and tells what became of them.",
    specs: [
      {
        flag: "nodes",
        kind: SettingKind.Addresses,
        describe: "callers' ports",
        isRequired: true,
      },
      {
        flag: "customer",
        kind: SettingKind.Text,
        describe: "customer to call as",
        isRequired: true,
      },
      {
        flag: "path",
        kind: SettingKind.Text,
        describe: "path with the service",
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
        describe: "length of the load",
        fallback: "5",
      },
      {
        flag: "slow-ms",
        kind: SettingKind.Integer,
        describe: "calls that fail or take longer are felt",
        fallback: "1000",
      },
      {
        flag: "settle-ms",
        kind: SettingKind.Integer,
        describe: "time after which felt calls are counted",
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
      const told = {
        ...counts,
        versions: Object.fromEntries(versions),
        p50Ms: at(50) / 1_000,
        p99Ms: at(99) / 1_000,
        servedP99Ms: servedUs.getValueAtPercentile(99) / 1_000,
      };
      process.stdout.write(`${JSON.stringify(told)}\n`);
    },
  });
}
