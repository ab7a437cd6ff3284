/**
 * Keeps track of requests that crash the endpoints that run them, and exchanges
 * what is known with other nodes.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { SuspectRecords } from "../endpoint_proxy/create_home.ts";
import type { Gossip } from "../links/messages.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import { countChain } from "../quarantine/crash_chain.ts";
import {
  createSuspectsState,
  decideSuspects,
  maySuspect,
  quarantinedRows,
  type SuspectsEffect,
  type SuspectsEvent,
} from "../quarantine/decide_suspects.ts";
import {
  type CheckedCall,
  fingerprintOfCall,
} from "../quarantine/fingerprint_of.ts";
import { rowOf } from "../quarantine/merge_row.ts";
import type { SuspectRow } from "../quarantine/messages.ts";

/** Options of `watchSuspects`. */
export interface WatchSuspectsOptions {
  /** Unique per process start. */
  readonly boot: string;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  /** Sends a message to all neighbors but one. */
  readonly forward: (message: Gossip, except: NodeId | undefined) => void;
}

export interface SuspectWatch extends SuspectRecords {
  /**
   * Number of endpoints that crashed one after the other while they ran the
   * request. `describe` is called only if the call may be a suspect.
   */
  countCrashes(target: string, describe: () => CheckedCall): number;
  receive(rows: readonly SuspectRow[], from: NodeId | undefined): void;
  /** What a node needs that has just started; undefined if nothing. */
  summary(): Gossip | undefined;
}

export function watchSuspects(opts: WatchSuspectsOptions): SuspectWatch {
  const { now } = opts;
  const state = createSuspectsState(opts.boot);

  function apply(event: SuspectsEvent) {
    for (const effect of decideSuspects(state, event)) carryOut(effect);
  }

  function carryOut(effect: SuspectsEffect) {
    switch (effect.type) {
      case "forward": {
        const { rows, except } = effect;
        return opts.forward({ type: "quarantine/rows", rows }, except);
      }
      case "quarantined": {
        const { fingerprint, crashes } = effect.row;
        const text =
          "request quarantined: it crashed the endpoints that ran it";
        opts.log.write("call", LogLevel.Warn, text, { fingerprint, crashes });
        return;
      }
      default:
        exhausted(effect);
    }
  }

  function countCrashes(target: string, describe: () => CheckedCall): number {
    if (!maySuspect(state, target)) return 0;
    const fingerprint = fingerprintOfCall(describe());
    return fingerprint === undefined
      ? 0
      : countChain(rowOf(state, fingerprint));
  }

  return {
    countCrashes,
    crashesOf: (call) => countCrashes(call.target, () => call),
    recordCrash(runs) {
      const crashed = runs.flatMap(({ call, crashes }) => {
        const fingerprint = fingerprintOfCall(call);
        return fingerprint === undefined ? [] : [{ fingerprint, crashes }];
      });
      const ids = runs.map(({ call }) => call.id);
      opts.log.write("endpoint", LogLevel.Warn, "endpoint crashed", { ids });
      apply({ type: "crashed", runs: crashed, now: now() });
    },
    recordAnswer(call) {
      if (!maySuspect(state, call.target)) return;
      const fingerprint = fingerprintOfCall(call);
      if (fingerprint === undefined) return;
      apply({ type: "answered", fingerprint, now: now() });
    },
    receive: (rows, from) =>
      apply({ type: "received", rows, from, now: now() }),
    summary() {
      const rows = quarantinedRows(state);
      return rows.length > 0 ? { type: "quarantine/rows", rows } : undefined;
    },
  };
}
