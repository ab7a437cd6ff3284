/**
 * Reads the machine's processor use, since measured times depend on it.
 * @module
 */
import { readFile } from "node:fs/promises";

/** Processor time of all cores since the machine's start, in clock ticks. */
export interface ProcessorTicks {
  readonly all: number;
  /** Time without work, including waits for I/O. */
  readonly idle: number;
  /** Time in which the hypervisor ran other VMs (steal time). */
  readonly stolen: number;
}

// Indexes into the values of the first line of `/proc/stat`.
const IDLE_FIELD = 3;
const IO_WAIT_FIELD = 4;
const STOLEN_FIELD = 7;
const FIELD_COUNT = 8;

/** Reads the ticks of all cores from `/proc/stat`. */
export async function readProcessorTicks(): Promise<ProcessorTicks> {
  const [first = ""] = (await readFile("/proc/stat", "utf8")).split("\n");
  const ticks = first.trim().split(/\s+/).slice(1, 1 + FIELD_COUNT).map(Number);
  const at = (index: number) => ticks[index] ?? 0;
  return {
    all: ticks.reduce((sum, one) => sum + one, 0),
    idle: at(IDLE_FIELD) + at(IO_WAIT_FIELD),
    stolen: at(STOLEN_FIELD),
  };
}
