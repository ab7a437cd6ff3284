/**
 * Measures the nodes' control traffic, processor time and memory.
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { readMemory } from "../experiments/memory.ts";
import type { Fleet, FleetNode } from "../fleet/start_fleet.ts";
import { readUsage } from "./operator.ts";

/** Cost per node, over the processes that were up at the end. */
export interface ControlCost {
  /** Control bytes sent and received, mean of the nodes. */
  readonly bytesPerSecond: number;
  /** Control bytes of the node with the most. */
  readonly maxBytesPerSecond: number;
  /** Processor time in percent of one core, mean of the nodes. */
  readonly cpuPercent: number;
}

const CLOCK_TICKS_PER_SECOND = 100;

interface CostSample {
  readonly bytes: number;
  readonly cpuSeconds: number;
}

/** Measures while `during` runs, or for that many milliseconds. */
export async function measureControl(
  fleet: Fleet,
  during: number | (() => Promise<void>),
): Promise<ControlCost> {
  const before = await sampleNodes(fleet);
  const startedAt = performance.now();
  if (typeof during === "number") await sleep(during);
  else await during();
  const seconds = (performance.now() - startedAt) / 1_000;
  const after = await sampleNodes(fleet);
  const bytes: number[] = [];
  const cpu: number[] = [];
  for (const [pid, reading] of after) {
    // A node restarted meanwhile has a new process, whose counters began at 0.
    const start = before.get(pid) ?? { bytes: 0, cpuSeconds: 0 };
    bytes.push((reading.bytes - start.bytes) / seconds);
    cpu.push(100 * (reading.cpuSeconds - start.cpuSeconds) / seconds);
  }
  return {
    bytesPerSecond: mean(bytes),
    maxBytesPerSecond: Math.max(...bytes),
    cpuPercent: mean(cpu),
  };
}

async function sampleNodes(fleet: Fleet): Promise<Map<number, CostSample>> {
  const up = fleet.nodes.filter((node) => node.isUp);
  const rows = await Promise.all(
    up.map(async (node) => [node.process.pid, await sampleNode(node)] as const),
  );
  return new Map(rows);
}

async function sampleNode(node: FleetNode): Promise<CostSample> {
  const usage = await readUsage(node.admin);
  const stat = await readFile(`/proc/${node.process.pid}/stat`, "utf8");
  // The fields start after the command name, which may contain spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    bytes: usage.sentBytes + usage.receivedBytes,
    cpuSeconds: ticks / CLOCK_TICKS_PER_SECOND,
  };
}

/** Returns the nodes' mean resident and mean anonymous memory, in MB. */
export async function measureMemory(fleet: Fleet) {
  const samples = await Promise.all(
    fleet.nodes.filter((node) => node.isUp)
      .map((node) => readMemory(node.process.pid)),
  );
  return {
    resident: mean(samples.map((one) => one.resident)),
    anonymous: mean(samples.map((one) => one.anonymous)),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
