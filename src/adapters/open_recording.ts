/**
 * Records a node's decisions to a file.
 * @module
 */
import { createWriteStream } from "node:fs";
import createDebug from "debug";
import type { NodeId } from "../core/types.ts";
import {
  createRecorder,
  NOOP_RECORDER,
  type Recorder,
} from "../trace/create_recorder.ts";

const logger = createDebug("lagoon:trace");

/** Characters of one recording at most. */
const maxLength = 32 * 1024 * 1024;

/** Options of `openRecording`. */
export interface OpenRecordingOptions {
  /** File to append to. Nothing is recorded without one. */
  readonly file: string | undefined;
  readonly node: NodeId;
}

export interface Recording {
  readonly recorder: Recorder;
  /** Resolves when every line is in the file. */
  close(): Promise<void>;
}

/** Opens the file. A node that can't record goes on without. */
export function openRecording(opts: OpenRecordingOptions): Recording {
  const { file, node } = opts;
  if (file === undefined) {
    return { recorder: NOOP_RECORDER, close: () => Promise.resolve() };
  }
  // A restarted node adds to what it recorded before it died.
  const out = createWriteStream(file, { flags: "a" });
  out.on("error", (err) => logger("Recording failed: %s.", err.message));
  const recorder = createRecorder({
    node,
    binary: "lagoon-node",
    maxLength,
    write: (line) => out.write(`${line}\n`),
  });
  return {
    recorder,
    close: () => new Promise((resolve) => out.end(() => resolve())),
  };
}
