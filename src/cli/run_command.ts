/**
 * Runs one command of `lagoonctl`.
 * @module
 */
import type { ConfigReader } from "../config_check/state.ts";
import { applyLists } from "./apply_lists.ts";
import { checkConfig } from "./check_config.ts";
import { CODE_MEANINGS } from "./code_meanings.ts";
import type { CommandContext } from "./command.ts";
import { ExitCode } from "./exit_code.ts";
import { explain } from "./explain.ts";
import { reinstate } from "./reinstate.ts";
import { showAudit } from "./show_audit.ts";
import { showLists } from "./show_lists.ts";
import { showRollouts } from "./show_rollouts.ts";
import { showStatus } from "./show_status.ts";
import { waitInForce } from "./wait_in_force.ts";
import { writeReport } from "./write_report.ts";

/** Options of `runCommand`. */
export interface RunCommandOptions extends CommandContext {
  readonly positionals: readonly string[];
  /** Decodes a configuration of the users' platform. */
  readonly readConfig: ConfigReader;
}

/** Runs the command and returns the exit code. */
export async function runCommand(opts: RunCommandOptions): Promise<ExitCode> {
  const [command, ...args] = opts.positionals;
  switch (command) {
    case "apply":
      return await applyLists(opts, args);
    case "check":
      return await checkConfig({ ...opts, files: args });
    case "show":
      return await showLists(opts);
    case "status":
      return await showStatus(opts);
    case "rollouts":
      return await showRollouts(opts);
    case "explain":
      return await explain(opts, args[0] ?? "");
    case "report":
      return await writeReport(opts, args[0] ?? "");
    case "audit":
      return await showAudit(opts);
    case "codes":
      for (const [code, meaning] of Object.entries(CODE_MEANINGS)) {
        opts.print(`${code}: ${meaning}`);
      }
      return ExitCode.Done;
    case "wait":
      return await waitInForce(opts);
    case "reinstate":
      return await reinstate(opts, args[0] ?? "");
    default:
      opts.printError(
        `Unknown command '${command ?? ""}'. Run 'lagoonctl --help'.`,
      );
      return ExitCode.Usage;
  }
}
