/**
 * Notices changes of a file without any signal.
 * @module
 */
import { unwatchFile, watchFile } from "node:fs";

/** Time between two looks at the file, in milliseconds. */
const defaultPollMs = 2_000;

/** Options of `followFile`. */
export interface FollowFileOptions {
  readonly path: string;
  readonly onChange: () => void;
  readonly pollMs?: number;
}

export interface FileFollower {
  close(): void;
}

/** Polls, as the platform's kernel reports no events of files. */
export function followFile(opts: FollowFileOptions): FileFollower {
  const { path, onChange, pollMs = defaultPollMs } = opts;
  const look = () => onChange();
  watchFile(path, { interval: pollMs, persistent: false }, look);
  return { close: () => unwatchFile(path, look) };
}
