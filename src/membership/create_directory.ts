/**
 * The read-only view of live upstreams that other slices use.
 * @module
 */
import {
  type Directory,
  EndpointState,
  type HomeCapacity,
  type RemoteCapacity,
} from "../core/types.ts";
import { MemberStatus } from "./messages.ts";
import type { MembershipState } from "./state.ts";

/** Creates a view that always shows the current state. */
export function createDirectory(state: MembershipState): Directory {
  const homes = (service: string, version: string) =>
    listHomes(state, service, version);
  const remotes = (service: string, version: string) =>
    listRemotes(state, service, version);
  return {
    homes,
    remotes,
    isPresent: (service, version) =>
      homes(service, version).length > 0 ||
      remotes(service, version).length > 0,
  };
}

function listHomes(
  state: MembershipState,
  service: string,
  version: string,
): HomeCapacity[] {
  const found: HomeCapacity[] = [];
  for (const { row, heardAt } of state.members.values()) {
    if (row.status !== MemberStatus.Alive) continue;
    const ready = row.endpoints.filter((one) =>
      one.service === service && one.version === version &&
      one.state === EndpointState.Ready
    );
    if (ready.length === 0) continue;
    const slots = ready.reduce((sum, one) => sum + one.slots, 0);
    found.push({ home: row.info.id, slots, readySince: heardAt });
  }
  return found;
}

function listRemotes(
  state: MembershipState,
  service: string,
  version: string,
): RemoteCapacity[] {
  const found: RemoteCapacity[] = [];
  for (const { summary } of state.summaries.values()) {
    const sum = summary.services.find((one) =>
      one.service === service && one.version === version
    );
    if (sum === undefined) continue;
    const { domain, region, gateways } = summary;
    found.push({ domain, region, gateways, slots: sum.slots });
  }
  return found;
}
