/**
 * Tracks the state of the endpoint on this VM by its pings.
 * @module
 */
import { formatError } from "../core/errors.ts";
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, WallMs } from "../core/types.ts";
import type { RowEndpoint } from "../fleet/messages.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import { decideLocalEndpoint } from "../local_endpoint/decide_local_endpoint.ts";
import { isHealthWanted, isPresent } from "../local_endpoint/judge_presence.ts";
import { stoppedInstances } from "../local_endpoint/stopped_instances.ts";
import {
  createLocalEndpointState,
  type Instance,
  InstancePhase,
  type LocalEndpointChange,
  type ProcessStart,
  type StoppedInstance,
} from "../local_endpoint/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { Platform } from "./platform_port.ts";

/** How far in the future an endpoint's start time may lie, in milliseconds. */
const MAX_CLOCK_AHEAD_MS = 3_600_000;

/** Options of `watchInstance`. */
export interface WatchInstanceOptions {
  readonly decodePing: Platform["decodePing"];
  /** Service of the endpoint on this VM, by the settings. */
  readonly service: string;
  /** Address of that endpoint, by the settings. */
  readonly address: string;
  readonly start: ProcessStart;
  readonly home: LocalHome;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly wall: () => WallMs;
  /**
   * Called with the endpoint that other nodes may use, and the stopped
   * instances.
   */
  readonly onEndpoint: (
    endpoint: RowEndpoint | undefined,
    gone: readonly StoppedInstance[],
  ) => void;
  /**
   * Called with the stopped instances after the endpoint announced that one
   * stops. The announcement is confirmed when the promise resolves.
   */
  readonly onStopped: (gone: readonly StoppedInstance[]) => Promise<void>;
}

/** What became of a ping. */
export type PingResult =
  | { readonly type: "refused"; readonly reason: string }
  /** To be confirmed when `recorded` resolves. */
  | { readonly type: "accepted"; readonly recorded: Promise<void> };

export interface InstanceWatch {
  ping(id: string, body: Buffer): PingResult;
  /** Resolves when the leave message may be confirmed. */
  leave(id: string): Promise<void>;
  /**
   * Applies the stopped instances that an earlier process here announced.
   * `isComplete`: it announced no others.
   */
  recall(gone: readonly StoppedInstance[], isComplete: boolean): void;
  /**
   * Asks the endpoint whether it leaves, if its pings prove nothing yet. Called
   * when the health path may have become known.
   */
  checkHealth(): Promise<void>;
  /** The newest instances that stopped, the newest last. */
  stopped(): readonly StoppedInstance[];
  /** Hides the endpoint from other nodes; this node still uses it. */
  withdraw(): void;
  close(): void;
}

/** Creates the watch. No endpoint is known before the first ping. */
export function watchInstance(opts: WatchInstanceOptions): InstanceWatch {
  const { home, log, now } = opts;
  const state = createLocalEndpointState(opts.start);
  let isWithdrawn = false;
  let presenceTimer: NodeJS.Timeout | undefined;
  /** Instance that has answered whether it leaves, and was not leaving. */
  let healthyId: string | undefined;

  function applyChange(change: LocalEndpointChange) {
    watchPresence();
    switch (change.type) {
      case "none":
        return;
      case "refreshed":
        // An endpoint may become cold again without a new start.
        if (state.current !== undefined) home.recordPing(state.current);
        return;
      case "started":
        write("endpoint started", { ...change.instance });
        if (!isPresent(state)) writeUnused(change.instance);
        break;
      case "draining":
        write("endpoint is draining", { instance: change.instance.id });
        break;
      case "left":
        write("endpoint announced that it stops", { instance: change.id });
        break;
      case "overdue":
        writeUnused(change.instance);
        break;
      case "resumed":
        write("endpoint used again", { instance: change.instance.id });
        break;
      default:
        exhausted(change);
    }
    updateEndpoint();
  }

  function writeUnused({ id }: Instance) {
    const text = "endpoint not used: it may have left before this process";
    write(text, { instance: id });
  }

  function watchPresence() {
    clearTimeout(presenceTimer);
    const { presence } = state;
    if (presence.type !== "assumed") return;
    presenceTimer = setTimeout(
      () =>
        applyChange(
          decideLocalEndpoint(state, { type: "presence-checked", now: now() }),
        ),
      presence.until - now(),
    );
  }

  function write(text: string, fields: Record<string, unknown>) {
    log.write("endpoint", LogLevel.Info, text, fields);
  }

  async function checkHealth() {
    const { current } = state;
    if (current === undefined || !isHealthWanted(state)) return;
    const { id } = current;
    if (id === healthyId) return;
    const isDenied = await home.askWhetherLeaving();
    if (isDenied === undefined) return;
    if (!isDenied) healthyId = id;
    const event = { type: "health-answered", id, isDenied } as const;
    applyChange(decideLocalEndpoint(state, { ...event, now: now() }));
  }

  /** Applies what the endpoint itself announced, and records that it stops. */
  async function applyAnnounced(change: LocalEndpointChange) {
    applyChange(change);
    const isStop = change.type === "draining" || change.type === "left";
    if (isStop) await opts.onStopped(stoppedInstances(state));
  }

  function updateEndpoint() {
    const { current } = state;
    const isReady = current?.phase === InstancePhase.Ready && isPresent(state);
    const reason = isPresent(state)
      ? "the endpoint is leaving"
      : "the endpoint may have left";
    home.setInstance(isReady ? current : undefined, reason);
    opts.onEndpoint(
      !isReady || isWithdrawn ? undefined : {
        id: current.id,
        service: current.service,
        version: current.version,
        slots: current.slots,
        coldMs: Math.max(0, current.coldUntil - now()),
      },
      stoppedInstances(state),
    );
  }

  function refuse(reason: string): PingResult {
    log.write("endpoint", LogLevel.Warn, "endpoint ping refused", { reason });
    return { type: "refused", reason };
  }

  return {
    ping(id, body) {
      const ping = opts.decodePing(id, body);
      if (ping.isErr()) return refuse(formatError(ping.error));
      const { service, address, bornAt } = ping.value;
      // A delayed ping may come from an endpoint that ran beside another node,
      // at the address that this node has now.
      if (service !== opts.service) {
        return refuse(`${id} runs ${service}, not ${opts.service}`);
      }
      if (address !== opts.address) {
        return refuse(`${id} is at ${address}, not at ${opts.address}`);
      }
      // A later start replaces earlier ones, so a start time in the far future
      // would block every real start.
      if (bornAt - opts.wall() > MAX_CLOCK_AHEAD_MS) {
        return refuse(`start time of ${id} is too far in the future`);
      }
      const event = { type: "pinged", ping: ping.value, now: now() } as const;
      const recorded = applyAnnounced(decideLocalEndpoint(state, event));
      void checkHealth();
      return { type: "accepted", recorded };
    },
    leave(id) {
      const event = { type: "left", id, saidAt: opts.wall() } as const;
      return applyAnnounced(decideLocalEndpoint(state, event));
    },
    recall(gone, isComplete) {
      const event = { type: "stopped-received", gone, isComplete } as const;
      applyChange(decideLocalEndpoint(state, event));
    },
    checkHealth,
    stopped: () => stoppedInstances(state),
    withdraw() {
      isWithdrawn = true;
      updateEndpoint();
    },
    close: () => clearTimeout(presenceTimer),
  };
}
