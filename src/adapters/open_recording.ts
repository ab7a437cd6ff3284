/**
 * Writes a trace of a node's decisions to a file.
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

/** Maximum length of a recording. */
const MAX_RECORDING_CHARS = 32 * 1024 * 1024;

/** Options of `openRecording`. */
export interface OpenRecordingOptions {
  /** File to append to. Without a file, nothing is recorded. */
  readonly file: string | undefined;
  readonly node: NodeId;
}

export interface Recording {
  readonly recorder: Recorder;
  /** Resolves when every line is in the file. */
  close(): Promise<void>;
}

/** Opens the file. If writing fails, the node continues without a recording. */
export function openRecording(opts: OpenRecordingOptions): Recording {
  const { file, node } = opts;
  if (file === undefined) {
    return { recorder: NOOP_RECORDER, close: () => Promise.resolve() };
  }
  // A restarted node appends to the recording from before its crash.
  const out = createWriteStream(file, { flags: "a" });
  out.on(
    "error",
    (err) => logger("Writing the trace file failed: %s.", err.message),
  );
  const recorder = createRecorder({
    node,
    binary: "lagoon-node",
    maxLength: MAX_RECORDING_CHARS,
    write: (line) => out.write(`${line}\n`),
  });
  return {
    recorder,
    close: () => new Promise((resolve) => out.end(() => resolve())),
  };
}
