/**
 * How busy the machine was, to judge measured times by.
 * @module
 */
import { readFile } from "node:fs/promises";

/** Processor time since the machine's start, in its ticks. */
export interface ProcessorTicks {
  readonly all: number;
  readonly idle: number;
  /** Time in which the hypervisor ran other machines. */
  readonly stolen: number;
}

const idleField = 3;
const waitField = 4;
const stolenField = 7;
const fields = 8;

/** Reads the ticks of all cores from `/proc/stat`. */
export async function readProcessorTicks(): Promise<ProcessorTicks> {
  const [first = ""] = (await readFile("/proc/stat", "utf8")).split("\n");
  const ticks = first.trim().split(/\s+/).slice(1, 1 + fields).map(Number);
  const at = (index: number) => ticks[index] ?? 0;
  return {
    all: ticks.reduce((sum, one) => sum + one, 0),
    idle: at(idleField) + at(waitField),
    stolen: at(stolenField),
  };
}
