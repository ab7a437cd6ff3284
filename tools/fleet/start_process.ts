/**
 * Starts a Node.js script of this repository as a child process, reads its
 * output, and makes sure that it stops.
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
  /** Called with each line of standard output and error. */
  readonly onLine?: (line: string) => void;
}

export interface StartedProcess {
  readonly pid: number;
  readonly child: ChildProcess;
  /** Sends a message, which the child receives by `process.on("message")`. */
  send(message: unknown): void;
  signal(name: "SIGTERM" | "SIGKILL" | "SIGSTOP" | "SIGCONT"): void;
  /** Resolves with the exit code, or null if a signal ended the process. */
  readonly exited: Promise<number | null>;
  /** Resumes the process, sends SIGTERM, and SIGKILL if it runs 8 s later. */
  stop(): Promise<void>;
}

const STOP_TIMEOUT_MS = 8_000;
const runningChildren = new Set<ChildProcess>();

// Child processes must not outlive this process.
process.once("exit", () => {
  for (const child of runningChildren) child.kill("SIGKILL");
});

/** Starts the script as a child process. */
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
  runningChildren.add(child);
  for (const stream of [child.stdout, child.stderr]) {
    if (stream === null) continue;
    const lines = createInterface({ input: stream });
    lines.on("line", (line) => opts.onLine?.(line));
  }
  const exited = new Promise<number | null>((resolve) => {
    child.once("exit", (code) => {
      runningChildren.delete(child);
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
      const timer = setTimeout(() => child.kill("SIGKILL"), STOP_TIMEOUT_MS);
      await exited;
      clearTimeout(timer);
    },
  };
}
