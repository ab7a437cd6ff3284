/**
 * Settings of `lagoon-node`.
 * @module
 */
import type { SnapshotPolicy } from "../config_log/decide_snapshot.ts";
import type { NodeId } from "../core/types.ts";
import { SettingKind, type SettingSpec, splitList } from "./read_settings.ts";

const MINUTE_MS = 60_000;

/** Settings of one node. Addresses are `host:port`. */
export interface NodeSettings {
  readonly domain: string;
  readonly region: string;
  readonly peerAddr: NodeId;
  readonly callAddr: string;
  readonly adminAddr: string;
  readonly seeds: readonly NodeId[];
  readonly logUrl: string;
  /** Keys accepted from peers and operators. The node sends the first one. */
  readonly keys: readonly string[];
  /**
   * When this node, as a reader of the log, writes a snapshot. If absent, the
   * default policy applies.
   */
  readonly snapshots?: SnapshotPolicy;
  /** StatsD server that metrics are sent to. */
  readonly statsdAddr?: string;
  /** File to which the node's events are recorded, for replay. */
  readonly record?: string;
}

/** Settings that `lagoon-node` takes as flags or environment variables. */
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
    describe: "StatsD server that receives metrics",
  },
  {
    flag: "record",
    kind: SettingKind.Text,
    describe: "file that events are recorded to, for replay",
  },
];

/** Converts checked values to typed settings. */
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
      everyMs: Math.max(1, Number(text("snapshot-minutes"))) * MINUTE_MS,
    },
    ...(statsdAddr === undefined ? {} : { statsdAddr }),
    ...(record === undefined ? {} : { record }),
  };
}
