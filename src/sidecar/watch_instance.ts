/**
 * Follows the endpoint beside this node from its pings.
 * @module
 */
import { formatError } from "../core/errors.ts";
import type { MonotonicMs, WallMs } from "../core/types.ts";
import type { RowEndpoint } from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import { decideLocalEndpoint } from "../local_endpoint/decide_local_endpoint.ts";
import { stoppedInstances } from "../local_endpoint/stopped_instances.ts";
import {
  createLocalEndpointState,
  InstancePhase,
  type LocalEndpointChange,
  type StoppedInstance,
} from "../local_endpoint/state.ts";
import { type Log, LogLevel } from "../logs/create_log.ts";
import type { Platform } from "./platform_port.ts";

/** How far the clock of an endpoint may be ahead, in milliseconds. */
const maxAheadMs = 3_600_000;

/** Options of `watchInstance`. */
export interface WatchInstanceOptions {
  readonly decodePing: Platform["decodePing"];
  /** Service of the endpoint beside this node, by the settings. */
  readonly service: string;
  /** Address of that endpoint, by the settings. */
  readonly address: string;
  readonly home: LocalHome;
  readonly log: Log;
  readonly now: () => MonotonicMs;
  readonly wall: () => WallMs;
  /** Told what other nodes may use from now on. */
  readonly onEndpoint: (
    endpoint: RowEndpoint | undefined,
    gone: readonly StoppedInstance[],
  ) => void;
}

export interface InstanceWatch {
  /** Takes a ping before it is acknowledged. Returns why it is refused. */
  ping(id: string, body: Buffer): string | undefined;
  leave(id: string): void;
  /** Takes what other nodes know of an earlier process at this address. */
  recall(gone: readonly StoppedInstance[]): void;
  /** Keeps the endpoint from other nodes; this node still uses it. */
  withdraw(): void;
}

/** Starts with no endpoint known. */
export function watchInstance(opts: WatchInstanceOptions): InstanceWatch {
  const { home, log, now } = opts;
  const state = createLocalEndpointState();
  let isWithdrawn = false;

  function take(change: LocalEndpointChange) {
    switch (change.type) {
      case "none":
      case "heard":
        return;
      case "started":
        write("endpoint started", { ...change.instance });
        break;
      case "draining":
        write("endpoint drains", { instance: change.instance.id });
        break;
      case "left":
        write("endpoint left", { instance: change.id });
        break;
    }
    open();
  }

  function write(text: string, fields: Record<string, unknown>) {
    log.write("endpoint", LogLevel.Info, text, fields);
  }

  function open() {
    const { current } = state;
    const isReady = current?.phase === InstancePhase.Ready;
    home.setInstance(isReady ? current : undefined, "the endpoint is leaving");
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

  function refuse(reason: string): string {
    log.write("endpoint", LogLevel.Warn, "ping refused", { reason });
    return reason;
  }

  return {
    ping(id, body) {
      const ping = opts.decodePing(id, body);
      if (ping.isErr()) return refuse(formatError(ping.error));
      const { service, address, bornAt } = ping.value;
      // A ping that was held up may come from an endpoint that was at this
      // address before, beside another node.
      if (service !== opts.service) {
        return refuse(`${id} runs ${service}, not ${opts.service}`);
      }
      if (address !== opts.address) {
        return refuse(`${id} is at ${address}, not at ${opts.address}`);
      }
      // It would keep every real start away.
      if (bornAt - opts.wall() > maxAheadMs) {
        return refuse(`${id} starts in the far future`);
      }
      const event = { type: "pinged", ping: ping.value, now: now() } as const;
      take(decideLocalEndpoint(state, event));
      return undefined;
    },
    leave(id) {
      const event = { type: "left", id, saidAt: opts.wall() } as const;
      take(decideLocalEndpoint(state, event));
    },
    recall: (gone) =>
      take(decideLocalEndpoint(state, { type: "recalled", gone })),
    withdraw() {
      isWithdrawn = true;
      open();
    },
  };
}
