/**
 * Adds the pauses of garbage collection to the work meter.
 * @module
 */
import { PerformanceObserver } from "node:perf_hooks";
import { Duty, type WorkMeter } from "./create_work_meter.ts";

export interface GarbageCollectionWatch {
  close(): void;
}

export function watchGarbageCollection(
  meter: WorkMeter,
): GarbageCollectionWatch {
  const observer = new PerformanceObserver((list) => {
    for (const { duration } of list.getEntries()) {
      meter.addMs(Duty.GarbageCollection, duration);
    }
  });
  observer.observe({ entryTypes: ["gc"] });
  return { close: () => observer.disconnect() };
}
