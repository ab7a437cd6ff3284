/**
 * How records of the log travel between nodes.
 * @module
 */
import type { EncodedSnapshot } from "../config_log/encode_snapshot.ts";
import type { LogRecord } from "../config_log/messages.ts";
import type { Offset } from "../core/types.ts";

export type DistributionMessage =
  /** Records in order of offset, without a gap. */
  | {
    readonly type: "distribution/records";
    readonly records: readonly LogRecord[];
  }
  /** Where the sender stands. */
  | {
    readonly type: "distribution/head";
    readonly next: Offset;
    readonly digest: string;
  }
  /** Asks for the records from an offset on. */
  | { readonly type: "distribution/fetch"; readonly from: Offset }
  /** The whole state, for a peer too far behind for the kept tail. */
  | {
    readonly type: "distribution/snapshot";
    readonly snapshot: EncodedSnapshot;
  };
