/**
 * Writes `record.txt`: what was sent, answered and run, with times in
 * milliseconds since the start of the script.
 * @module
 */
import { createWriteStream } from "node:fs";

export function openRecord(path) {
  const stream = createWriteStream(path);
  const startedAt = performance.now();
  const now = () => Math.round(performance.now() - startedAt);
  return {
    now,
    write: (...words) => void stream.write(`${now()} ${words.join(" ")}\n`),
    close: () => new Promise((resolve) => stream.end(resolve)),
  };
}
