/**
 * State of the configuration that one proxy serves.
 * @module
 */
import type { ConfigState } from "../config_log/state.ts";
import type { Offset } from "../core/types.ts";
import type { RouteRule } from "../lists/types.ts";

/** Version of a service that serves calls, and the version under rollout. */
export interface VersionSplit {
  readonly stable: string;
  /** Version under rollout, absent if none gets calls. */
  readonly candidate?: {
    readonly rollout: string;
    readonly version: string;
    /** Share of calls that go to the candidate, in thousandths. */
    readonly perMille: number;
  };
}

/** A service that one plan may use, with its active routes. */
export interface ServedService {
  readonly plan: string;
  readonly service: string;
  /** Routes as the operator wrote them. */
  readonly rules: readonly RouteRule[];
  /** The routes of `rules`, most specific path first. */
  readonly routes: readonly RouteRule[];
  readonly split: VersionSplit;
}

/** A complete configuration, which is replaced as a whole and never changed. */
export interface ServingConfig {
  /** Configuration version: an offset of the `config` stream. */
  readonly version: Offset;
  /** Chained hash of the records that the configuration was folded from. */
  readonly digest: string;
  /** Offset of the last change to the list of customers. */
  readonly customersAt: Offset;
  /** Plans that at least one customer holds. */
  readonly plansHeld: ReadonlySet<string>;
  /** Plan of each customer. */
  readonly planOf: ReadonlyMap<string, string>;
  /** Active services by `plan/service`. */
  readonly services: ReadonlyMap<string, ServedService>;
  /** Keys `plan/service` of services without a ready endpoint to reach. */
  readonly inactive: ReadonlySet<string>;
}

export interface ServingState {
  /** Configuration in force, undefined before the first one. */
  current: ServingConfig | undefined;
}

export interface ServingEvent {
  readonly type: "compile";
  readonly config: ConfigState;
  /** Versions with a ready endpoint, as `service@version`. */
  readonly present: ReadonlySet<string>;
  /** Version floor: lowest version that may be served. Undefined if unknown. */
  readonly floor: Offset | undefined;
}

export type ServingEffect =
  | { readonly type: "swapped"; readonly config: ServingConfig }
  /** The version in force changed. Not sent when only upstreams changed. */
  | { readonly type: "applied"; readonly version: Offset }
  /** The compiled configuration was refused. */
  | {
    readonly type: "older" | "broken";
    readonly version: Offset;
    readonly reason: string;
  };

/** Creates the state of a proxy that has no configuration yet. */
export function createServingState(): ServingState {
  return { current: undefined };
}
