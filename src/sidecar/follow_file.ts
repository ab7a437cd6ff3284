/**
 * Watches a file for changes that no signal announces.
 * @module
 */
import { unwatchFile, watchFile } from "node:fs";

/** Default time between two checks of the file, in milliseconds. */
const DEFAULT_POLL_MS = 2_000;

/** Options of `followFile`. */
export interface FollowFileOptions {
  readonly path: string;
  readonly onChange: () => void;
  readonly pollMs?: number;
}

export interface FileFollower {
  close(): void;
}

/** Polls the file, since the platform's kernel reports no file events. */
export function followFile(opts: FollowFileOptions): FileFollower {
  const { path, onChange, pollMs = DEFAULT_POLL_MS } = opts;
  const notify = () => onChange();
  watchFile(path, { interval: pollMs, persistent: false }, notify);
  return { close: () => unwatchFile(path, notify) };
}
