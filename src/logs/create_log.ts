/**
 * Structured log lines, one JSON object each.
 * @module
 */
import pino from "pino";

/**
 * Maximum number of lines per second with the same part, level and text.
 * Further lines are dropped and counted.
 */
const MAX_LINES_PER_SECOND = 20;

/**
 * Maximum number of bytes buffered for a slow reader of standard output.
 * Further lines are dropped.
 */
const MAX_BUFFERED_BYTES = 1_048_576;

/** Minimum number of buffered bytes before lines are written. */
const MIN_WRITE_BYTES = 4_096;

/** Longest time until buffered lines are written. */
const FLUSH_INTERVAL_MS = 500;

/** Part of the system that a line is about. */
export type LogPart =
  | "call"
  | "config"
  | "endpoint"
  | "fleet"
  | "move"
  | "process"
  | "store";

/** Fields of a line. Errors are passed as text. */
export type LogFields = Readonly<Record<string, unknown>>;

/**
 * Severity of a line. The rate limit counts each level separately, so lines on
 * successes do not displace lines on failures.
 */
export const LogLevel = { Info: "info", Warn: "warn", Error: "error" } as const;
export type LogLevel = typeof LogLevel[keyof typeof LogLevel];

export interface Log {
  write(part: LogPart, level: LogLevel, text: string, fields?: LogFields): void;
  close(): void;
}

/** Options of `createLog`. */
export interface CreateLogOptions {
  readonly node: string;
  /** Clock of the rate limit, in milliseconds. */
  readonly now: () => number;
  /** Standard output by default. */
  readonly stream?: pino.DestinationStream;
}

/** Lines of one kind within the current second. */
interface LineWindow {
  startedAt: number;
  lines: number;
  dropped: number;
}

/**
 * Creates the log. If the reader of standard output stalls, lines are dropped;
 * the process never waits for it.
 */
export function createLog(opts: CreateLogOptions): Log {
  const stream = opts.stream ?? pino.destination({
    fd: 1,
    sync: false,
    minLength: MIN_WRITE_BYTES,
    maxLength: MAX_BUFFERED_BYTES,
    periodicFlush: FLUSH_INTERVAL_MS,
  });
  const logger = pino({ base: { node: opts.node } }, stream);
  const windows = new Map<string, LineWindow>();

  return {
    write(part, level, text, fields = {}) {
      const key = `${part} ${level} ${text}`;
      const at = opts.now();
      let window = windows.get(key);
      if (window === undefined || at - window.startedAt >= 1_000) {
        const left = window?.dropped ?? 0;
        window = { startedAt: at, lines: 0, dropped: 0 };
        windows.set(key, window);
        if (left > 0) logger[level]({ part, left }, `${text} (lines dropped)`);
      }
      if (window.lines >= MAX_LINES_PER_SECOND) {
        window.dropped++;
        return;
      }
      window.lines++;
      logger[level]({ part, ...fields }, text);
    },
    close: () => logger.flush(),
  };
}
