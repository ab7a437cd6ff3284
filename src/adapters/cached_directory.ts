/**
 * Keeps lookups of the directory for a moment, for the path of calls.
 * @module
 */
import type { Directory, MonotonicMs } from "../core/types.ts";
import { keyOfVersion } from "../core/key_of_version.ts";

/** Far below the 2 s in which a leaving upstream loses its calls. */
const keptMs = 50;

/** Options of `cacheDirectory`. */
export interface CacheDirectoryOptions {
  readonly directory: Directory;
  readonly now: () => MonotonicMs;
}

/** A lookup lists all members, so it is made 20 times a second at most. */
export function cacheDirectory(opts: CacheDirectoryOptions): Directory {
  const { directory, now } = opts;
  const homes = new Map<string, ReturnType<Directory["homes"]>>();
  const remotes = new Map<string, ReturnType<Directory["remotes"]>>();
  let freshUntil = -Infinity;

  function refresh() {
    if (now() < freshUntil) return;
    homes.clear();
    remotes.clear();
    freshUntil = now() + keptMs;
  }

  function look<T>(cache: Map<string, T>, key: string, find: () => T): T {
    refresh();
    const known = cache.get(key);
    if (known !== undefined) return known;
    const found = find();
    cache.set(key, found);
    return found;
  }

  return {
    homes: (service, version) =>
      look(
        homes,
        keyOfVersion(service, version),
        () => directory.homes(service, version),
      ),
    remotes: (service, version) =>
      look(
        remotes,
        keyOfVersion(service, version),
        () => directory.remotes(service, version),
      ),
    isPresent: directory.isPresent,
  };
}
