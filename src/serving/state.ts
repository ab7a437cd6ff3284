/**
 * The configuration in force on one proxy.
 * @module
 */
import type { ConfigState } from "../config_log/state.ts";
import type { Offset } from "../core/types.ts";
import type { RouteRule } from "../lists/types.ts";

/** Which version of a service answers, and the share of a newer one. */
export interface VersionSplit {
  readonly stable: string;
  readonly candidate?: {
    readonly rollout: string;
    readonly version: string;
    /** Share of calls in thousandths. */
    readonly perMille: number;
  };
}

/** A service that one plan may use, with its active routes. */
export interface ServedService {
  readonly plan: string;
  readonly service: string;
  /** Routes as the operator wrote them. */
  readonly rules: readonly RouteRule[];
  /** The same routes, most specific path first. */
  readonly routes: readonly RouteRule[];
  readonly split: VersionSplit;
}

/** A whole configuration. Never changed in place: a new one replaces it. */
export interface ServingConfig {
  readonly version: Offset;
  readonly digest: string;
  /** Offset of the last change to the list of customers. */
  readonly customersAt: Offset;
  /** Plans that customers hold. */
  readonly plansHeld: ReadonlySet<string>;
  /** Plan of each customer. */
  readonly planOf: ReadonlyMap<string, string>;
  /** Active services by `plan/service`. */
  readonly services: ReadonlyMap<string, ServedService>;
  /** Keys `plan/service` allowed but absent here, so not active. */
  readonly inactive: ReadonlySet<string>;
}

export interface ServingState {
  /** Configuration in force, none before the first. */
  current: ServingConfig | undefined;
}

export interface ServingEvent {
  readonly type: "compile";
  readonly config: ConfigState;
  /** Versions with a ready endpoint, `service@version`. */
  readonly present: ReadonlySet<string>;
  /** Lowest version that may be served, none until it is known. */
  readonly floor: Offset | undefined;
}

export type ServingEffect =
  | { readonly type: "swapped"; readonly config: ServingConfig }
  /** Another version is in force. */
  | { readonly type: "applied"; readonly version: Offset }
  | {
    readonly type: "older" | "broken";
    readonly version: Offset;
    readonly reason: string;
  };

/** Creates the state of a proxy that serves nothing yet. */
export function createServingState(): ServingState {
  return { current: undefined };
}
