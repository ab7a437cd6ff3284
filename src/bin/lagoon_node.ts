#!/usr/bin/env node
/**
 * The lagoon-node binary: the process that runs beside an upstream on its VM.
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
  summary:
    "Runs a proxy node beside one upstream, configured by the operators' lists.",
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
    // Handlers stay registered, since without them a second signal would kill
    // the process before its shutdown ends.
    const stop = () =>
      void starting
        .then((node) => node.close())
        .then(() => process.exit(0));
    process.on("SIGTERM", stop);
    process.on("SIGINT", stop);
    await starting;
  },
});
