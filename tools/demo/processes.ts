/**
 * Processes of the demo, ended together whatever happens.
 * @module
 */
import { type StartedProcess, startProcess } from "../fleet/start_process.ts";

/** What a process that ran to its end came to. */
export interface CommandResult {
  readonly code: number | null;
  /** Lines of both outputs. */
  readonly lines: readonly string[];
}

export interface Processes {
  /** Starts a script of `dist` that runs until `close`. */
  start(script: string, args: readonly string[]): void;
  /** Runs a script of `dist` to its end. */
  run(script: string, args: readonly string[]): Promise<CommandResult>;
  /** What is told of processes that ended although nobody asked them to. */
  died(): readonly string[];
  /** Stops everything gracefully. True when nothing had to be killed. */
  close(): Promise<boolean>;
}

const maxLines = 1_000;

/** Creates an empty set of processes. */
export function createProcesses(): Processes {
  const running: StartedProcess[] = [];
  const died: string[] = [];
  let isClosing = false;

  function launch(script: string, args: readonly string[]) {
    const lines: string[] = [];
    const started = startProcess({
      script: `dist/${script}`,
      args,
      onLine: (line) => {
        if (lines.length < maxLines) lines.push(line);
      },
    });
    return { started, lines };
  }

  return {
    async start(script, args) {
      const { started, lines } = launch(script, args);
      running.push(started);
      const code = await started.exited;
      if (isClosing) return;
      died.push(`${script} ended with ${code}: ${lines.join("\n")}`);
    },
    async run(script, args) {
      const { started, lines } = launch(script, args);
      // The last lines may come after the exit.
      const closed = new Promise((resolve) =>
        started.child.once("close", resolve)
      );
      const code = await started.exited;
      await closed;
      return { code, lines };
    },
    died: () => died,
    async close() {
      isClosing = true;
      await Promise.all(running.map((one) => one.stop()));
      const codes = await Promise.all(running.map((one) => one.exited));
      return codes.every((code) => code === 0);
    },
  };
}
