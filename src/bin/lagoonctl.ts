#!/usr/bin/env node
/**
 * The lagoonctl binary: the command line of operators.
 * @module
 */
import process from "node:process";
import { buffer } from "node:stream/consumers";
import { readConfig } from "../../platform/decode_operator_record.ts";
import { CTL_SETTING_SPECS, CTL_SUMMARY } from "../cli/ctl_settings.ts";
import { runCommand } from "../cli/run_command.ts";
import { runBinary } from "../settings/run_binary.ts";

await runBinary({
  binary: "lagoonctl",
  summary: CTL_SUMMARY,
  positionals: "COMMAND [ARGS]",
  specs: CTL_SETTING_SPECS,
  main: async (values, positionals) => {
    const { USER } = process.env;
    process.exitCode = await runCommand({
      values: new Map([
        ...(USER ? [["editor", USER] as const] : []),
        ...values,
      ]),
      positionals,
      print: (line) => process.stdout.write(`${line}\n`),
      printError: (line) => process.stderr.write(`${line}\n`),
      readInput: () => buffer(process.stdin),
      wall: () => Date.now(),
      readConfig,
    });
  },
});
