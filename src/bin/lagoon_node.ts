#!/usr/bin/env node
/**
 * The one process of the system in a VM's slot.
 * @module
 */
import "./bound_memory.ts";
import process from "node:process";
import { runNode } from "../adapters/run_node.ts";
import { formatError } from "../core/errors.ts";
import { checkAccess } from "../settings/check_access.ts";
import {
  NODE_SETTING_SPECS,
  toNodeSettings,
} from "../settings/node_settings.ts";
import { runBinary } from "../settings/run_binary.ts";

await runBinary({
  binary: "lagoon-node",
  summary: "Serves callers by the operators' lists, beside one upstream.",
  specs: NODE_SETTING_SPECS,
  main: async (values) => {
    const settings = toNodeSettings(values);
    const access = checkAccess(settings);
    if (access.isErr()) {
      process.stderr.write(`${formatError(access.error)}\n`);
      process.exitCode = 2;
      return;
    }
    const starting = runNode(settings);
    // Signals that come again must not end the process by themselves.
    const stop = () =>
      void starting
        .then((node) => node.close())
        .then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await starting;
  },
});
