/**
 * Finds which versions that the lists name have a ready endpoint.
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

/** Keys `service@version`. Many plans use one, so each is asked for once. */
export function findPresent(opts: FindPresentOptions): ReadonlySet<string> {
  const { config, directory } = opts;
  const present = new Set<string>();
  const asked = new Set<string>();
  function ask(service: string, version: string) {
    const key = keyOfVersion(service, version);
    if (asked.has(key)) return;
    asked.add(key);
    if (directory.isPresent(service, version)) present.add(key);
  }
  for (const { service, stable, rollout } of config.uses.values()) {
    ask(service, stable);
    const moving = rollout === undefined
      ? undefined
      : config.rollouts.get(rollout);
    if (moving !== undefined) ask(service, moving.version);
  }
  return present;
}
