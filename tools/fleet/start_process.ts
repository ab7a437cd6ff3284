/**
 * Starts one of our processes, reads its log lines, and stops it for certain.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { createInterface } from "node:readline";

/** Options of `startProcess`. */
export interface StartProcessOptions {
  /** Built script below `dist`. */
  readonly script: string;
  readonly args: readonly string[];
  readonly env?: Readonly<Record<string, string>>;
  /** Modules loaded before the script. */
  readonly preload?: readonly string[];
  /** Takes each line of standard output and error. */
  readonly onLine?: (line: string) => void;
}

export interface StartedProcess {
  readonly pid: number;
  readonly child: ChildProcess;
  /** Sends a message over the channel that `process.on("message")` reads. */
  send(message: unknown): void;
  signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT"): void;
  /** Resolves with the exit code, or null after a signal. */
  readonly exited: Promise<number | null>;
  /** Asks it to stop, and kills it when it doesn't. */
  stop(): Promise<void>;
}

const stopLimitMs = 8_000;
const started = new Set<ChildProcess>();

// Whatever happens to this process, its children do not outlive it.
process.once("exit", () => {
  for (const child of started) child.kill("SIGKILL");
});

/** Starts a process of ours. */
export function startProcess(opts: StartProcessOptions): StartedProcess {
  const preload = (opts.preload ?? []).flatMap((one) => ["--import", one]);
  const child = spawn(process.execPath, [
    ...preload,
    opts.script,
    ...opts.args,
  ], {
    env: { ...process.env, ...opts.env },
    stdio: ["ignore", "pipe", "pipe", "ipc"],
  });
  started.add(child);
  for (const stream of [child.stdout, child.stderr]) {
    if (stream === null) continue;
    const lines = createInterface({ input: stream });
    lines.on("line", (line) => opts.onLine?.(line));
  }
  const exited = new Promise<number | null>((resolve) => {
    child.once("exit", (code) => {
      started.delete(child);
      resolve(code);
    });
  });
  return {
    pid: child.pid ?? 0,
    child,
    send: (message) => {
      if (child.connected) child.send(message as object, () => {});
    },
    signal: (name) => {
      child.kill(name);
    },
    exited,
    async stop() {
      child.kill("SIGCONT");
      child.kill("SIGTERM");
      const timer = setTimeout(() => child.kill("SIGKILL"), stopLimitMs);
      await exited;
      clearTimeout(timer);
    },
  };
}
