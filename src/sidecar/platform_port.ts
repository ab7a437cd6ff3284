/**
 * The interface to the platform that the sidecar runs on: its store, its
 * message formats and its headers.
 * @module
 */
import type { Result } from "neverthrow";
import type { StatedKey } from "../accounts/state.ts";
import type { AllowanceTerms } from "../allowance/state.ts";
import type { RetryBudgetTerms } from "../retry_budget/state.ts";
import type { HeaderList } from "../calls/state.ts";
import type { LagoonError } from "../core/errors.ts";
import type { NodeId } from "../core/types.ts";
import type { InstancePing } from "../local_endpoint/state.ts";
import type { RouteTable } from "../routes/state.ts";
import type { KeyedRecord, KeyedStore } from "../store/state.ts";
import type { ExposureTerms } from "../traffic_shift/plan_share.ts";
import type { ShiftOrder, ShiftStatus } from "../traffic_shift/state.ts";

/** Settings of the process beside an endpoint. Addresses are `host:port`. */
export interface SidecarSettings {
  /** Address at which other nodes connect to this node. */
  readonly node: NodeId;
  readonly domain: string;
  /** Service of the endpoint on this VM. */
  readonly service: string;
  readonly endpointAddress: string;
  /** Where clients and the endpoint send their requests. */
  readonly callerAddress: string;
  readonly readyAddress: string;
  /** Where the endpoint sends its pings. */
  readonly pingAddress: string;
  readonly metricsAddress: string;
  readonly storeAddress: string;
  readonly budget: RetryBudgetTerms;
  readonly exposure: ExposureTerms;
  /** Time between SIGTERM and SIGKILL, in milliseconds. */
  readonly graceMs: number;
  /** Time between two pings of an endpoint, in milliseconds. */
  readonly pingIntervalMs: number;
  /**
   * Time after its start from which a node has to keep promises that earlier
   * processes of it made, in milliseconds.
   */
  readonly stabilityMs: number;
  /** Failure domains of the deployment. Empty if the settings name none. */
  readonly domains: readonly string[];
  /** Number of failure domains of the deployment. */
  readonly domainCount: number;
  /** Bounds on the requests of an account. Undefined if none are set. */
  readonly allowance?: AllowanceTerms | undefined;
}

/** A decoded record of an operator. */
export type OperatorRecord =
  | { readonly type: "table"; readonly table: RouteTable }
  | { readonly type: "order"; readonly order: ShiftOrder }
  /** Whether endpoints of a failure domain get no calls. */
  | {
    readonly type: "evacuation";
    readonly domain: string;
    readonly isActive: boolean;
  }
  | { readonly type: "other" };

/** A call as the caller's headers describe it. */
export interface CallerHead {
  readonly id: string;
  /**
   * Id of the parent call, derived from this call's id ("parent.suffix").
   * Undefined without a suffix; not verified.
   */
  readonly parentId: string | undefined;
  /** Time that the caller waits for the answer, in milliseconds. */
  readonly waitMs: number | undefined;
  readonly key: StatedKey;
}

/** Load that an endpoint states. Each part is undefined if it is not known. */
export interface EndpointLoad {
  readonly running: number | undefined;
  readonly waiting: number | undefined;
  readonly slots: number | undefined;
  /** How long runs take now, in percent of their usual time. */
  readonly pacePercent: number | undefined;
}

/** What the status and headers of an answer state. */
export interface AnswerMarks {
  /** The endpoint states that it did not run the call. */
  readonly isNotRun: boolean;
  /** By its status, callers would conclude that the call has not run. */
  readonly readsAsNotRun: boolean;
  /**
   * The endpoint at the address is not the instance that the call is meant for.
   */
  readonly isWrongInstance: boolean;
  /**
   * Call id in the answer's headers. Undefined without an id or with several.
   */
  readonly callId: string | undefined;
  /** Load of the endpoint. Undefined if the answer does not state it. */
  readonly load?: EndpointLoad | undefined;
  /** Remaining time of a cold start, in milliseconds, if it is stated. */
  readonly coldMs?: number | undefined;
}

/** Options of `CallDialect.endpointHeaders`. */
export interface EndpointHeadersOptions {
  readonly headers: HeaderList;
  readonly callId: string;
  readonly instanceId: string;
  readonly callerService: string;
  readonly leftMs: number;
  /** Client account of the call, if it has one. */
  readonly accountName?: string | undefined;
}

/** Format of calls towards callers and endpoints. */
export interface CallDialect {
  /** `raw` are the same headers as received, in which duplicates are apart. */
  readCaller(
    headers: Record<string, unknown>,
    raw: HeaderList,
  ): CallerHead | undefined;
  /**
   * End-to-end headers of a call, without those that the sidecar sets. With
   * `isAccountSet`, the sidecar also sets those of the account and its key.
   */
  sentHeaders(raw: HeaderList, isAccountSet: boolean): string[];
  endpointHeaders(opts: EndpointHeadersOptions): string[];
  readAnswer(status: number, headers: HeaderList): AnswerMarks;
  /** Headers of a refusal after which the caller may retry. */
  refusalHeaders(callId: string, retryMs: number): Record<string, string>;
}

/** A call to the ping address. */
export type PingCall =
  | { readonly type: "ping"; readonly id: string }
  | { readonly type: "leave"; readonly id: string }
  | { readonly type: "ready" }
  | { readonly type: "unknown" };

export interface Platform {
  readonly store: KeyedStore;
  readonly topics: {
    readonly operator: string;
    readonly status: string;
    readonly nodes: string;
  };
  readonly dialect: CallDialect;
  decodeOperatorRecord(
    record: KeyedRecord,
  ): Result<OperatorRecord, LagoonError>;
  decodeStatus(record: KeyedRecord): ShiftStatus | undefined;
  encodeStatus(status: ShiftStatus): KeyedRecord;
  matchPingCall(method: string, path: string): PingCall;
  decodePing(id: string, body: Buffer): Result<InstancePing, LagoonError>;
}
