#!/usr/bin/env node
/**
 * The one process of the system in a VM's slot.
 * @module
 */
import "./bound_memory.ts";
import process from "node:process";
import { runNode } from "../adapters/run_node.ts";
import { nodeSettingSpecs, toNodeSettings } from "../settings/node_settings.ts";
import { runBinary } from "../settings/run_binary.ts";

await runBinary({
  binary: "lagoon-node",
  summary: "Serves callers by the operators' lists, beside one upstream.",
  specs: nodeSettingSpecs,
  main: async (values) => {
    const node = await runNode(toNodeSettings(values));
    const stop = () => node.close().then(() => process.exit(0));
    process.once("SIGTERM", stop);
    process.once("SIGINT", stop);
  },
});
