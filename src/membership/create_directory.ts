/**
 * The read-only view of live upstreams that other slices use.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Directory, HomeCapacity, RemoteCapacity } from "../core/types.ts";
import type { MembershipState } from "./state.ts";

const noHomes: readonly HomeCapacity[] = [];
const noRemotes: readonly RemoteCapacity[] = [];

/** Creates a view that always shows the current state. One look-up a call. */
export function createDirectory(state: MembershipState): Directory {
  return {
    homes: (service, version) =>
      state.homes.get(keyOfVersion(service, version)) ?? noHomes,
    remotes: (service, version) =>
      state.remotes.get(keyOfVersion(service, version)) ?? noRemotes,
    isPresent: (service, version) => {
      const key = keyOfVersion(service, version);
      return state.homes.has(key) || state.remotes.has(key);
    },
  };
}
