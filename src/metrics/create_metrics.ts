/**
 * Counters and latency histograms of one node.
 * @module
 */
import { Counter, Gauge, Histogram, Registry } from "prom-client";
import type { HomeCalls } from "../endpoint_proxy/create_home.ts";
import type { KeyFault } from "../accounts/check_key.ts";
import type { Run } from "../traffic_shift/count_run.ts";
import type { WorkMeter } from "./create_work_meter.ts";
import { exposeWork } from "./expose_work.ts";

/**
 * Bucket bounds of call durations, from short nested calls to the longest
 * timeouts.
 */
const LATENCY_BOUNDS_SECONDS = [
  0.01,
  0.025,
  0.05,
  0.1,
  0.2,
  0.3,
  0.5,
  0.8,
  1.2,
  2,
  5,
];

/** How a request ended for its caller. */
export const CallResult = {
  Served: "served",
  /** An endpoint answered with a server error. */
  EndpointFailed: "endpoint_failed",
  /** The call was refused and has not run. */
  NotRun: "not_run",
  /** The call may have run, but no answer arrived. */
  Unknown: "unknown",
  NoRoute: "no_route",
  /** The caller closed its connection before the answer. */
  Left: "caller_left",
} as const;
export type CallResult = typeof CallResult[keyof typeof CallResult];

/** What became of a request of an account that has an allowance. */
export const QuotaResult = {
  Admitted: "admitted",
  Refused: "refused",
  /** Counted in addition, if the request had to wait for its answer. */
  Waited: "waited",
  /** Counted in addition, if an admitted request reached no endpoint. */
  Returned: "returned",
} as const;
export type QuotaResult = typeof QuotaResult[keyof typeof QuotaResult];

export interface Metrics {
  countCall(route: string, result: CallResult, tookMs: number): void;
  countRefusal(reason: string): void;
  /** Counts a request that is refused for its API key, by the key's fault. */
  countKeyRefusal(fault: KeyFault): void;
  /**
   * Counts a call that this node's queue refused for lack of capacity, also one
   * that gave way to a more urgent call. `isOverShare`: its account used more
   * than its fair share.
   */
  countShed(route: string, reason: string, isOverShare: boolean): void;
  /** Counts a further attempt of a call that the retry budget allowed. */
  countRetry(service: string): void;
  /** Counts a call that reached an endpoint of another service or version. */
  countMisdirected(expected: string, present: string): void;
  /** Counts an endpoint's answer that was rejected as untrusted, by defect. */
  countUntrustedAnswer(defect: string): void;
  /** Counts a run at the endpoint on this VM. */
  countVersionRun(run: Run): void;
  countQuota(result: QuotaResult): void;
  /** Counts a message about quotas to another node, by its type. */
  countQuotaMessage(type: string): void;
  setTableVersion(version: number): void;
  /** Counts a call that waited for the limit on starts at a cold endpoint. */
  countColdDelay(): void;
  setEvacuatedDomains(count: number): void;
  /** Replaces the numbers of ready endpoints of all services. */
  setReadyEndpoints(byService: ReadonlyMap<string, number>): void;
  /** Replaces the numbers of calls at this node's endpoint. */
  setHomeCalls(calls: HomeCalls): void;
  /** All metrics in the text format of Prometheus. */
  text(): Promise<string>;
}

/** Options of `createMetrics`. */
export interface CreateMetricsOptions {
  readonly meter: WorkMeter;
}

/**
 * Creates the metrics. Label values are routes, services, versions and fixed
 * words only, so their number is bounded.
 */
export function createMetrics(opts: CreateMetricsOptions): Metrics {
  const registry = new Registry();
  exposeWork({ registry, meter: opts.meter });
  const registers = [registry];
  const calls = new Histogram({
    name: "lagoon_call_duration_seconds",
    help: "Time from a request's arrival to its answer.",
    labelNames: ["route", "result"],
    buckets: LATENCY_BOUNDS_SECONDS,
    registers,
  });
  const refusals = new Counter({
    name: "lagoon_refusals_total",
    help: "Offers that were refused as not run, by reason.",
    labelNames: ["reason"],
    registers,
  });
  const keyRefusals = new Counter({
    name: "lagoon_key_refusals_total",
    help: "Requests refused for their API key, by the key's fault.",
    labelNames: ["fault"],
    registers,
  });
  const shed = new Counter({
    name: "lagoon_shed_calls_total",
    help: "Calls that the queue of this node refused for lack of capacity.",
    labelNames: ["route", "reason", "over_share"],
    registers,
  });
  const retries = new Counter({
    name: "lagoon_repeats_total",
    help: "Requests sent to a further endpoint.",
    labelNames: ["service"],
    registers,
  });
  const misdirected = new Counter({
    name: "lagoon_misdirected_calls_total",
    help: "Calls that reached an endpoint of another service or version.",
    labelNames: ["expected", "present"],
    registers,
  });
  const untrustedAnswers = new Counter({
    name: "lagoon_doubtful_answers_total",
    help: "Endpoint's answers that were not taken for their call's, by reason.",
    labelNames: ["doubt"],
    registers,
  });
  const versionRuns = new Counter({
    name: "lagoon_version_runs_total",
    help: "Runs at this node's endpoint, by its version and their result.",
    labelNames: ["service", "version", "result"],
    registers,
  });
  const quotas = new Counter({
    name: "lagoon_quota_requests_total",
    help: "Requests of accounts that have a quota, by result.",
    labelNames: ["result"],
    registers,
  });
  const quotaMessages = new Counter({
    name: "lagoon_quota_messages_total",
    help: "Messages about quotas sent to other nodes, by type.",
    labelNames: ["type"],
    registers,
  });
  const table = new Gauge({
    name: "lagoon_route_table_version",
    help: "Version of the route table in force.",
    registers,
  });
  const coldDelays = new Counter({
    name: "lagoon_cold_start_delays_total",
    help: "Calls that waited for the limit on starts at this node's endpoint.",
    registers,
  });
  const evacuated = new Gauge({
    name: "lagoon_evacuated_domains",
    help: "Failure domains whose endpoints get no calls.",
    registers,
  });
  const ready = new Gauge({
    name: "lagoon_ready_endpoints",
    help: "Endpoints that this node may offer calls to, by service.",
    labelNames: ["service"],
    registers,
  });
  const homeCalls = new Gauge({
    name: "lagoon_home_calls",
    help: "Calls for this node's endpoint, by whether they run or wait.",
    labelNames: ["state"],
    registers,
  });
  return {
    countCall: (route, result, tookMs) =>
      calls.observe({ route, result }, tookMs / 1_000),
    countRefusal: (reason) => refusals.inc({ reason }),
    countKeyRefusal: (fault) => keyRefusals.inc({ fault }),
    countShed: (route, reason, isOverShare) =>
      shed.inc({ route, reason, over_share: isOverShare ? "yes" : "no" }),
    countRetry: (service) => retries.inc({ service }),
    countMisdirected: (expected, present) =>
      misdirected.inc({ expected, present }),
    countUntrustedAnswer: (doubt) => untrustedAnswers.inc({ doubt }),
    countVersionRun(run) {
      const { service, version } = run;
      const result = resultOf(run);
      versionRuns.inc({ service, version, result });
    },
    countQuota: (result) => quotas.inc({ result }),
    countQuotaMessage: (type) => quotaMessages.inc({ type }),
    setTableVersion: (version) => table.set(version),
    countColdDelay: () => coldDelays.inc(),
    setEvacuatedDomains: (count) => evacuated.set(count),
    setReadyEndpoints(byService) {
      ready.reset();
      for (const [service, count] of byService) ready.set({ service }, count);
    },
    setHomeCalls({ running, waiting }) {
      homeCalls.set({ state: "running" }, running);
      homeCalls.set({ state: "waiting" }, waiting);
    },
    text: () => registry.metrics(),
  };
}

/**
 * Returns the label of a run's result. A failed run is excused if a nested call
 * failed, since the version may not have caused the failure.
 */
function resultOf({ isFailed, hasNestedFailure }: Run): string {
  if (!isFailed) return "served";
  return hasNestedFailure ? "excused" : "failed";
}
