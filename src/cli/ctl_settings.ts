/**
 * Settings and commands of `lagoonctl`.
 * @module
 */
import { SettingKind, type SettingSpec } from "../settings/read_settings.ts";

/** Shown by `--help`. */
export const CTL_SUMMARY =
  `Edits the two lists and reads back what became of each move.

Commands:
  apply FILE...   publish lists from YAML files, directories or '-'
  show            print the lists in force, as YAML that apply takes
  status          versions in force, by failure domain, and laggards
  rollouts        moves between versions, and whether they are done
  explain WHAT    what became of a rollout id or an edit's offset, or
                  what a refusal code means
  report ID       one rollout's report as an HTML page without links
  audit           who changed what, when, and the verdict
  codes           every refusal code and what to do
  wait            wait until the newest version is in force everywhere
  reinstate S@V   let a version that was taken back be tried again

Exit codes: 0 done, 1 refused or failed, 2 wrong usage, 3 unknown whether
an edit took effect, 4 accepted but not in force everywhere in time`;

export const CTL_SETTING_SPECS: readonly SettingSpec[] = [
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
    describe: "name that the audit trail gives as yours (default $USER)",
  },
  {
    flag: "json",
    kind: SettingKind.Switch,
    describe: "print JSON",
    fallback: "false",
  },
  {
    flag: "dry-run",
    kind: SettingKind.Switch,
    describe: "show what apply would change, and change nothing",
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
  {
    flag: "out",
    kind: SettingKind.Text,
    describe: "report: file to write instead of the output",
  },
  {
    flag: "who",
    kind: SettingKind.Text,
    describe: "audit: only what this operator or node wrote",
  },
  {
    flag: "verdict",
    kind: SettingKind.Text,
    describe: "audit: only 'accepted' or 'refused'",
  },
  {
    flag: "since",
    kind: SettingKind.Integer,
    describe: "audit: only from this offset on",
    fallback: "0",
  },
];
