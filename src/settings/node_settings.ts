/**
 * Settings of `lagoon-node`.
 * @module
 */
import type { SnapshotPolicy } from "../config_log/decide_snapshot.ts";
import type { NodeId } from "../core/types.ts";
import { SettingKind, type SettingSpec, splitList } from "./read_settings.ts";

const minuteMs = 60_000;

/** Settings of one node. Addresses are `host:port`. */
export interface NodeSettings {
  readonly domain: string;
  readonly region: string;
  readonly peerAddr: NodeId;
  readonly callAddr: string;
  readonly adminAddr: string;
  readonly seeds: readonly NodeId[];
  readonly logUrl: string;
  /** Keys accepted from peers and operators. The first is used to send. */
  readonly keys: readonly string[];
  /** When a reader writes a snapshot, by default if absent. */
  readonly snapshots?: SnapshotPolicy;
  readonly statsdAddr?: string;
  /** File that the node's events are recorded to. */
  readonly record?: string;
}

export const NODE_SETTING_SPECS: readonly SettingSpec[] = [
  {
    flag: "domain",
    kind: SettingKind.Text,
    describe: "failure domain of this VM",
    isRequired: true,
  },
  {
    flag: "region",
    kind: SettingKind.Text,
    describe: "region of the failure domain",
    fallback: "region-1",
  },
  {
    flag: "peer-addr",
    kind: SettingKind.Address,
    describe: "address for other nodes, which also names this node",
    isRequired: true,
  },
  {
    flag: "call-addr",
    kind: SettingKind.Address,
    describe: "address for callers",
    isRequired: true,
  },
  {
    flag: "admin-addr",
    kind: SettingKind.Address,
    describe: "address for operators and for upstreams' announcements",
    isRequired: true,
  },
  {
    flag: "seeds",
    kind: SettingKind.Addresses,
    describe: "peer addresses of a few nodes, some in other failure domains",
    fallback: "",
  },
  {
    flag: "log-url",
    kind: SettingKind.Url,
    describe: "base URL of the platform's log",
    isRequired: true,
  },
  {
    flag: "key",
    kind: SettingKind.Text,
    describe: "shared key of peers and operators; a second one after a comma " +
      "is accepted too while keys are replaced",
  },
  {
    flag: "snapshot-records",
    kind: SettingKind.Integer,
    describe: "records of the log after which a reader writes a snapshot; " +
      "keep it well below what the log retains",
    fallback: "4000",
  },
  {
    flag: "snapshot-minutes",
    kind: SettingKind.Integer,
    describe: "longest time between two snapshots; keep it well below the " +
      "log's retention",
    fallback: "120",
  },
  {
    flag: "statsd-addr",
    kind: SettingKind.Address,
    describe: "StatsD server that takes metrics",
  },
  {
    flag: "record",
    kind: SettingKind.Text,
    describe: "file that events are recorded to, for replay",
  },
];

/** Turns checked values into typed settings. */
export function toNodeSettings(
  values: ReadonlyMap<string, string>,
): NodeSettings {
  const text = (flag: string) => values.get(flag) ?? "";
  const statsdAddr = values.get("statsd-addr");
  const record = values.get("record");
  return {
    domain: text("domain"),
    region: text("region"),
    peerAddr: text("peer-addr"),
    callAddr: text("call-addr"),
    adminAddr: text("admin-addr"),
    seeds: splitList(values.get("seeds")),
    logUrl: text("log-url"),
    keys: splitList(values.get("key")),
    snapshots: {
      everyRecords: Math.max(1, Number(text("snapshot-records"))),
      everyMs: Math.max(1, Number(text("snapshot-minutes"))) * minuteMs,
    },
    ...(statsdAddr === undefined ? {} : { statsdAddr }),
    ...(record === undefined ? {} : { record }),
  };
}
