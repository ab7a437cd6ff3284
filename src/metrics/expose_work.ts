/**
 * Exposes the totals of the work meter as metrics.
 * @module
 */
import process from "node:process";
import { Counter, Gauge, type Registry } from "prom-client";
import type { WorkMeter } from "./create_work_meter.ts";

/** Options of `exposeWork`. */
export interface ExposeWorkOptions {
  readonly registry: Registry;
  readonly meter: WorkMeter;
}

/** Registers the metrics, which are read from the meter at each scrape. */
export function exposeWork(opts: ExposeWorkOptions) {
  const registers = [opts.registry];
  // This gauge is registered first and its collector sets all metrics below, so
  // all values of a scrape are from the same moment.
  const memory = new Gauge({
    name: "lagoon_resident_bytes",
    help: "Memory of the process.",
    registers,
    collect: updateMetrics,
  });
  const link = { labelNames: ["type", "way"], registers };
  const messages = new Counter({
    ...link,
    name: "lagoon_link_messages_total",
    help: "Messages of links by type.",
  });
  const bytes = new Counter({
    ...link,
    name: "lagoon_link_bytes_total",
    help: "Bytes of these messages, without frames.",
  });
  const seconds = new Counter({
    ...link,
    name: "lagoon_link_seconds_total",
    help: "Time on the main thread for these messages.",
  });
  const work = new Counter({
    name: "lagoon_work_seconds_total",
    help:
      "Time on the main thread for other work. Pauses of garbage collection are in the time of the work that they interrupt, too.",
    labelNames: ["duty"],
    registers,
  });
  const calls = new Counter({
    name: "lagoon_store_calls_total",
    help: "Calls to the store.",
    labelNames: ["call"],
    registers,
  });
  const otherDomains = new Counter({
    name: "lagoon_other_domain_bytes_total",
    help: "Bytes sent to other failure domains, by cause, without frames.",
    labelNames: ["cause"],
    registers,
  });
  const processor = new Counter({
    name: "lagoon_processor_seconds_total",
    help: "Processor time of the process.",
    registers,
  });

  function updateMetrics() {
    const totals = opts.meter.totals();
    const counters = [
      messages,
      bytes,
      seconds,
      work,
      calls,
      otherDomains,
      processor,
    ];
    for (const each of counters) each.reset();
    for (const { type, way, ...sums } of totals.messages.values()) {
      messages.inc({ type, way }, sums.count);
      bytes.inc({ type, way }, sums.bytes);
      seconds.inc({ type, way }, sums.ms / 1_000);
    }
    for (const [duty, ms] of totals.workMs) work.inc({ duty }, ms / 1_000);
    for (const [call, count] of totals.storeCalls) calls.inc({ call }, count);
    for (const [cause, sum] of totals.otherDomainBytes) {
      otherDomains.inc({ cause }, sum);
    }
    const { user, system } = process.cpuUsage();
    processor.inc((user + system) / 1_000_000);
    memory.set(process.memoryUsage.rss());
  }
}
