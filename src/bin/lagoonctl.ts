#!/usr/bin/env node
/**
 * The operators' command line.
 * @module
 */
import process from "node:process";
import { runCommand } from "../cli/run_command.ts";
import { SettingKind } from "../settings/read_settings.ts";
import { runBinary } from "../settings/run_binary.ts";

await runBinary({
  binary: "lagoonctl",
  summary: `Edits the two lists and reads back what became of each move.

Commands:
  apply FILE...   publish lists from YAML files; --wait until in force
  show            print the lists in force
  status          versions in force, by failure domain
  rollouts        moves between versions, and whether they are done
  explain ID      what happened to a rollout, and why
  audit           who changed what, when, and the verdict
  wait            wait until the newest version is in force everywhere
  reinstate S@V   let a version that was taken back be tried again`,
  positionals: "COMMAND [ARGS]",
  specs: [
    {
      flag: "node",
      kind: SettingKind.Address,
      describe: "operators' port of any node",
      fallback: "127.0.0.1:7003",
    },
    { flag: "key", kind: SettingKind.Text, describe: "shared key" },
    {
      flag: "editor",
      kind: SettingKind.Text,
      describe: "name that the audit trail gives as yours",
      fallback: process.env.USER ?? "operator",
    },
    {
      flag: "json",
      kind: SettingKind.Switch,
      describe: "print JSON",
      fallback: "false",
    },
    {
      flag: "wait",
      kind: SettingKind.Switch,
      describe: "wait until the edit is in force everywhere",
      fallback: "false",
    },
    {
      flag: "timeout",
      kind: SettingKind.Integer,
      describe: "longest wait in seconds",
      fallback: "30",
    },
  ],
  main: async (values, positionals) => {
    process.exitCode = await runCommand({
      values,
      positionals,
      print: (line) => process.stdout.write(`${line}\n`),
      printError: (line) => process.stderr.write(`${line}\n`),
    });
  },
});
