/**
 * Structured log lines, one JSON object each.
 * @module
 */
import pino from "pino";

/** Lines of one kind that are written in a second. The rest are counted. */
const linesPerSecond = 20;

/** Bytes kept for a slow reader of standard output. Later lines are lost. */
const maxBufferedBytes = 1_048_576;

/** Bytes gathered before a write, and the longest time until it. */
const writeBytes = 4_096;
const flushMs = 500;

/** Part of the system that a line comes from. */
export type LogPart =
  | "call"
  | "config"
  | "endpoint"
  | "fleet"
  | "move"
  | "process"
  | "store";

/** Fields of a line. Errors are given as text. */
export type LogFields = Readonly<Record<string, unknown>>;

/** Severity of a line. Failures are written before successes. */
export const LogLevel = { Info: "info", Warn: "warn", Error: "error" } as const;
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

export interface Log {
  write(part: LogPart, level: LogLevel, text: string, fields?: LogFields): void;
  close(): void;
}

/** Where lines go, and the clock of the limit. */
export interface CreateLogOptions {
  readonly node: string;
  readonly now: () => number;
  /** Standard output when left out. */
  readonly stream?: pino.DestinationStream;
}

interface Window {
  startedAt: number;
  lines: number;
  left: number;
}

/** Creates the log. A reader that stops reading costs lines, never time. */
export function createLog(opts: CreateLogOptions): Log {
  const stream = opts.stream ?? pino.destination({
    fd: 1,
    sync: false,
    minLength: writeBytes,
    maxLength: maxBufferedBytes,
    periodicFlush: flushMs,
  });
  const logger = pino({ base: { node: opts.node } }, stream);
  const windows = new Map<string, Window>();

  return {
    write(part, level, text, fields = {}) {
      const key = `${part} ${level} ${text}`;
      const at = opts.now();
      let window = windows.get(key);
      if (window === undefined || at - window.startedAt >= 1_000) {
        const left = window?.left ?? 0;
        window = { startedAt: at, lines: 0, left: 0 };
        windows.set(key, window);
        if (left > 0) logger[level]({ part, left }, `${text} (left out)`);
      }
      if (window.lines >= linesPerSecond) {
        window.left++;
        return;
      }
      window.lines++;
      logger[level]({ part, ...fields }, text);
    },
    close: () => logger.flush(),
  };
}
