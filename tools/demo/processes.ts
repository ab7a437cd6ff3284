/**
 * Processes of the demo, ended together whatever happens.
 * @module
 */
import { type ChildProcess, spawn } from "node:child_process";
import process from "node:process";
import { setTimeout as sleep } from "node:timers/promises";

/** What a process that ran to its end came to. */
export interface CommandResult {
  readonly code: number;
  /** Lines of both outputs. */
  readonly lines: readonly string[];
}

export interface Processes {
  /** Starts a script of `dist` that runs until `close`. */
  start(script: string, args: readonly string[]): void;
  /** Runs a script of `dist` to its end. */
  run(script: string, args: readonly string[]): Promise<CommandResult>;
  /** Scripts that ended although nobody asked them to. */
  died(): readonly string[];
  /** Stops everything gracefully. True when nothing had to be killed. */
  close(): Promise<boolean>;
}

const gracefulMs = 6_000;
const maxOutputLength = 64 * 1024;

/** Creates an empty set of processes. */
export function createProcesses(): Processes {
  const running = new Map<ChildProcess, string>();
  const died: string[] = [];
  let isClosing = false;
  // Last resort on a crash of the demo itself.
  process.once("exit", () => killAll(running.keys()));

  function spawnScript(script: string, args: readonly string[]) {
    const child = spawn(process.execPath, [`dist/${script}`, ...args], {
      stdio: ["ignore", "pipe", "pipe"],
    });
    running.set(child, script);
    child.once("exit", () => running.delete(child));
    return child;
  }

  return {
    start(script, args) {
      const child = spawnScript(script, args);
      child.stdout.resume();
      const output = collect(child);
      child.once("exit", (code) => {
        if (isClosing) return;
        died.push(`${script} ended with ${code}: ${output.join("")}`);
      });
    },
    run(script, args) {
      const child = spawnScript(script, args);
      const output = collect(child);
      return new Promise((resolve) => {
        child.once("close", (code) => {
          const lines = output.join("").split("\n").filter((line) => line);
          resolve({ code: code ?? 1, lines });
        });
      });
    },
    died: () => died,
    async close() {
      isClosing = true;
      for (const child of running.keys()) child.kill("SIGTERM");
      const giveUpAt = performance.now() + gracefulMs;
      while (running.size > 0 && performance.now() < giveUpAt) await sleep(20);
      const isClean = running.size === 0;
      killAll(running.keys());
      return isClean;
    },
  };
}

function collect(child: ChildProcess): string[] {
  const output: string[] = [];
  let length = 0;
  const take = (chunk: Buffer) => {
    length += chunk.length;
    if (length <= maxOutputLength) output.push(chunk.toString());
  };
  child.stdout?.on("data", take);
  child.stderr?.on("data", take);
  return output;
}

function killAll(children: Iterable<ChildProcess>) {
  for (const child of children) child.kill("SIGKILL");
}
