/**
 * Finds which of the versions that the operators' lists name have a ready
 * endpoint.
 * @module
 */
import type { ConfigState } from "../config_log/state.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Directory } from "../core/types.ts";

/** Options of `findPresent`. */
export interface FindPresentOptions {
  readonly config: ConfigState;
  readonly directory: Directory;
}

/**
 * Returns the present versions as `service@version`. Many plans use the same
 * version, so each is looked up only once.
 */
export function findPresent(opts: FindPresentOptions): ReadonlySet<string> {
  const { config, directory } = opts;
  const present = new Set<string>();
  const checked = new Set<string>();
  function checkVersion(service: string, version: string) {
    const key = keyOfVersion(service, version);
    if (checked.has(key)) return;
    checked.add(key);
    if (directory.isPresent(service, version)) present.add(key);
  }
  for (const { service, stable, rollout } of config.uses.values()) {
    checkVersion(service, stable);
    const liveRollout = rollout === undefined
      ? undefined
      : config.rollouts.get(rollout);
    if (liveRollout !== undefined) checkVersion(service, liveRollout.version);
  }
  return present;
}
