/**
 * The read-only view of live upstreams that other slices use.
 * @module
 */
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Directory, HomeCapacity, RemoteCapacity } from "../core/types.ts";
import type { MembershipState } from "./state.ts";

const NO_HOMES: readonly HomeCapacity[] = [];
const NO_REMOTES: readonly RemoteCapacity[] = [];

/** Creates a view that reads the current state with one look-up per query. */
export function createDirectory(state: MembershipState): Directory {
  return {
    homes: (service, version) =>
      state.homes.get(keyOfVersion(service, version)) ?? NO_HOMES,
    remotes: (service, version) =>
      state.remotes.get(keyOfVersion(service, version)) ?? NO_REMOTES,
    isPresent: (service, version) => {
      const key = keyOfVersion(service, version);
      return state.homes.has(key) || state.remotes.has(key);
    },
  };
}
