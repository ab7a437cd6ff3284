/**
 * What nodes spend on control over a stretch of time.
 * @module
 */
import { readFile } from "node:fs/promises";
import { setTimeout as sleep } from "node:timers/promises";
import { readMemory } from "../experiments/memory.ts";
import type { Fleet, FleetNode } from "../fleet/start_fleet.ts";
import { readUsage } from "./operator.ts";

/** Means over the nodes that were up all the time, and the highest. */
export interface ControlCost {
  readonly bytesPerSecond: number;
  readonly maxBytesPerSecond: number;
  /** Percent of one core. */
  readonly cpuPercent: number;
}

const ticksPerSecond = 100;

interface Reading {
  readonly bytes: number;
  readonly cpuSeconds: number;
}

/** Measures while `during` runs, or for a plain stretch of time. */
export async function measureControl(
  fleet: Fleet,
  during: number | (() => Promise<void>),
): Promise<ControlCost> {
  const before = await readAll(fleet);
  const startedAt = performance.now();
  if (typeof during === "number") await sleep(during);
  else await during();
  const seconds = (performance.now() - startedAt) / 1_000;
  const after = await readAll(fleet);
  const bytes: number[] = [];
  const cpu: number[] = [];
  for (const [pid, reading] of after) {
    // A node that was replaced meanwhile starts from nothing.
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

async function readAll(fleet: Fleet): Promise<Map<number, Reading>> {
  const up = fleet.nodes.filter((node) => node.isUp);
  const rows = await Promise.all(
    up.map(async (node) => [node.process.pid, await read(node)] as const),
  );
  return new Map(rows);
}

async function read(node: FleetNode): Promise<Reading> {
  const usage = await readUsage(node.admin);
  const stat = await readFile(`/proc/${node.process.pid}/stat`, "utf8");
  // Fields after the command name, which may hold spaces.
  const fields = stat.slice(stat.lastIndexOf(")") + 2).split(" ");
  const ticks = Number(fields[11]) + Number(fields[12]);
  return {
    bytes: usage.sentBytes + usage.receivedBytes,
    cpuSeconds: ticks / ticksPerSecond,
  };
}

/** Mean of resident and anonymous memory over the nodes, in MB. */
export async function measureMemory(fleet: Fleet) {
  const readings = await Promise.all(
    fleet.nodes.filter((node) => node.isUp)
      .map((node) => readMemory(node.process.pid)),
  );
  return {
    resident: mean(readings.map((one) => one.resident)),
    anonymous: mean(readings.map((one) => one.anonymous)),
  };
}

function mean(values: readonly number[]): number {
  return values.reduce((sum, one) => sum + one, 0) / values.length;
}
