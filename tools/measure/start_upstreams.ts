/**
 * Starts fake upstreams of a deployment's services for the fleet's nodes.
 * @module
 */
import type { Fleet } from "../fleet/start_fleet.ts";
import { FLEET_KEY } from "../fleet/start_fleet.ts";
import { NO_FAULTS, type UpstreamFaults } from "../fake_upstream.ts";
import { startUpstreamHost, type UpstreamHost } from "./start_upstream_host.ts";

export interface Upstreams {
  /** Starts a version of a service on every VM of the service. */
  start(service: string, version: string): Promise<void>;
  setFaults(
    service: string,
    version: string,
    faults: Partial<UpstreamFaults>,
  ): Promise<void>;
  /** Announces a version as draining, waits for its calls, then stops it. */
  drain(service: string, version: string): Promise<void>;
  /** Returns the addresses of a version's endpoints. */
  endpoints(service: string, version: string): readonly string[];
  /** Returns the number of idempotency keys that ran more than once. */
  countRunTwice(): Promise<number>;
  close(): Promise<void>;
}

const SERVICE_TIME_MS = 2;

/** Starts one upstream host process for each failure domain. */
export function startUpstreams(fleet: Fleet): Upstreams {
  const { deployment } = fleet;
  const hosts = new Map<string, UpstreamHost>(
    deployment.domains.map((domain) => [domain, startUpstreamHost()]),
  );
  const running = new Map<string, { host: UpstreamHost; endpoint: string }[]>();
  const findRunning = (service: string, version: string) =>
    running.get(`${service}@${version}`) ?? [];

  return {
    async start(service, version) {
      const homes = fleet.nodes.filter((one) =>
        one.service.service === service
      );
      const started = await Promise.all(homes.map(async (home) => {
        const host = hosts.get(home.domain);
        if (host === undefined) throw new Error(`no host in ${home.domain}`);
        const others = fleet.nodes.filter((one) =>
          one.domain === home.domain && one !== home
        );
        const reply = await host.request({
          type: "start",
          options: {
            host: "127.0.0.1",
            port: 0,
            service,
            version,
            slots: deployment.slots,
            connections: deployment.connections,
            homes: [home, ...others].map((one) => one.admin),
            key: FLEET_KEY,
            serviceMs: SERVICE_TIME_MS,
            faults: NO_FAULTS,
          },
        });
        const endpoint = reply.type === "endpoint" ? reply.endpoint : "";
        return { host, endpoint };
      }));
      running.set(`${service}@${version}`, started);
    },
    async setFaults(service, version, faults) {
      await Promise.all(
        findRunning(service, version).map(({ host, endpoint }) =>
          host.request({ type: "faults", endpoint, faults })
        ),
      );
    },
    async drain(service, version) {
      await Promise.all(
        findRunning(service, version).map(({ host, endpoint }) =>
          host.request({ type: "drain", endpoint })
        ),
      );
      running.delete(`${service}@${version}`);
    },
    endpoints: (service, version) =>
      findRunning(service, version).map((one) => one.endpoint),
    async countRunTwice() {
      const counts = new Map<string, number>();
      for (const host of hosts.values()) {
        const reply = await host.request({ type: "keys" });
        if (reply.type !== "keys") continue;
        for (const key of reply.keys) {
          counts.set(key, (counts.get(key) ?? 0) + 1);
        }
      }
      return [...counts.values()].filter((count) => count > 1).length;
    },
    async close() {
      await Promise.all([...hosts.values()].map((host) => host.close()));
    },
  };
}
