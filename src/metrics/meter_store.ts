/**
 * Counts the calls to the store.
 * @module
 */
import type { KeyedStore } from "../store/state.ts";
import type { WorkMeter } from "./create_work_meter.ts";

/** Wraps a store. Each call that is billed is counted before it is sent. */
export function meterStore(store: KeyedStore, meter: WorkMeter): KeyedStore {
  return {
    append(opts) {
      meter.countStoreCall(`append ${opts.topic}`);
      return store.append(opts);
    },
    read(opts) {
      meter.countStoreCall(`read ${opts.topic}`);
      return store.read(opts);
    },
    newest(topic, signal) {
      meter.countStoreCall(`newest ${topic}`);
      return store.newest(topic, signal);
    },
    close: () => store.close(),
  };
}
