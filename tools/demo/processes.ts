/**
 * Starts the demo's processes and stops them together.
 * @module
 */
import { type StartedProcess, startProcess } from "../fleet/start_process.ts";

/** Result of a process that has exited. */
export interface CommandResult {
  readonly code: number | null;
  /** Lines of standard output and error. */
  readonly lines: readonly string[];
}

export interface Processes {
  /** Starts a script below `dist` that runs until `close`. */
  start(script: string, args: readonly string[]): void;
  /** Runs a script below `dist` until it exits. */
  run(script: string, args: readonly string[]): Promise<CommandResult>;
  /** Describes each started process that exited before `close`. */
  unexpectedExits(): readonly string[];
  /** Stops all processes. True if each exited with code 0. */
  close(): Promise<boolean>;
}

const MAX_KEPT_LINES = 1_000;

/** Creates an empty set of processes. */
export function createProcesses(): Processes {
  const running: StartedProcess[] = [];
  const exits: string[] = [];
  let isClosing = false;

  function launch(script: string, args: readonly string[]) {
    const lines: string[] = [];
    const started = startProcess({
      script: `dist/${script}`,
      args,
      onLine: (line) => {
        if (lines.length < MAX_KEPT_LINES) lines.push(line);
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
      exits.push(`${script} exited early, code ${code}: ${lines.join("\n")}`);
    },
    async run(script, args) {
      const { started, lines } = launch(script, args);
      // The last lines of output may arrive after the exit event.
      const closed = new Promise((resolve) =>
        started.child.once("close", resolve)
      );
      const code = await started.exited;
      await closed;
      return { code, lines };
    },
    unexpectedExits: () => exits,
    async close() {
      isClosing = true;
      await Promise.all(running.map((one) => one.stop()));
      const codes = await Promise.all(running.map((one) => one.exited));
      return codes.every((code) => code === 0);
    },
  };
}
