/**
 * Configurations under check, and what a check reports.
 * @module
 */
import type { Allowance } from "../accounts/state.ts";
import type { Route, RouteTable } from "../routes/state.ts";

/** Why nodes would reject the configuration. Contains no API key. */
export interface ConfigProblem {
  /** Place in the file, such as `listeners[2].rules[5].action.timeoutMs`. */
  readonly path: string;
  readonly message: string;
}

/** Entries of the file that have no effect, so that the table lacks them. */
export type IgnoredEntry =
  | {
    readonly type: "zero-weight";
    readonly path: string;
    readonly route: string;
    readonly service: string;
  }
  /** A rule names one service and weighted ones, which take precedence. */
  | {
    readonly type: "overridden-service";
    readonly path: string;
    readonly route: string;
    readonly service: string;
  }
  /** A later definition of the same service replaces it. */
  | {
    readonly type: "replaced-service";
    readonly path: string;
    readonly service: string;
  }
  | {
    readonly type: "burst-without-rate";
    readonly path: string;
    readonly account: string;
    readonly burst: number;
  }
  /** An account lists the same key more than once. */
  | {
    readonly type: "repeated-key";
    readonly path: string;
    readonly account: string;
    readonly repeats: number;
  };

/** Places of entries in the file. */
export interface ConfigPlaces {
  /** By host name in lower case. */
  readonly hosts: ReadonlyMap<string, string>;
  readonly routes: ReadonlyMap<Route, string>;
  readonly services: ReadonlyMap<string, string>;
  /** By account name. */
  readonly accounts: ReadonlyMap<string, string>;
}

/** A configuration that nodes accept. */
export interface ConfigDocument {
  readonly table: RouteTable;
  readonly places: ConfigPlaces;
  readonly ignored: readonly IgnoredEntry[];
}

export type ConfigReading =
  | { readonly type: "valid"; readonly document: ConfigDocument }
  | { readonly type: "invalid"; readonly problems: readonly ConfigProblem[] }
  /** The bytes can't be parsed. The reason contains no part of them. */
  | { readonly type: "unreadable"; readonly reason: string };

/** Decodes the bytes of a configuration as nodes do. */
export type ConfigReader = (bytes: Uint8Array) => ConfigReading;

/** Something in a valid configuration that is probably a mistake. */
export type Finding =
  | IgnoredEntry
  /** The host has a port, which is removed before a request's host is found. */
  | {
    readonly type: "host-with-port";
    readonly path: string;
    readonly host: string;
  }
  /** Only a malformed `Host` header names the host. */
  | {
    readonly type: "malformed-host";
    readonly path: string;
    readonly host: string;
  }
  | {
    readonly type: "host-without-routes";
    readonly path: string;
    readonly host: string;
  }
  /** No request path begins with the prefix. */
  | {
    readonly type: "unreachable-prefix";
    readonly path: string;
    readonly route: string;
    readonly prefix: string;
  }
  | {
    readonly type: "unused-service";
    readonly path: string;
    readonly service: string;
  }
  | {
    readonly type: "account-without-key";
    readonly path: string;
    readonly account: string;
  }
  | {
    readonly type: "objective-over-timeout";
    readonly path: string;
    readonly route: string;
    readonly objectiveMs: number;
    readonly timeoutMs: number;
  }
  | {
    readonly type: "burst-over-rate";
    readonly path: string;
    readonly account: string;
    readonly allowance: Allowance;
  }
  /** Nodes ignore a configuration that is not newer than theirs. */
  | {
    readonly type: "version-not-newer";
    readonly path: string;
    readonly version: number;
    readonly versionInForce: number;
  };

/** A value that differs between two configurations. */
export interface FieldChange {
  readonly field: string;
  readonly from: string;
  readonly to: string;
}

/** A difference between the configuration in force and the checked one. */
export type Difference =
  | { readonly type: "version"; readonly from: number; readonly to: number }
  | {
    readonly type: "limits-changed";
    readonly changes: readonly FieldChange[];
  }
  | {
    readonly type: "route-added" | "route-removed";
    readonly host: string;
    readonly prefix: string;
    readonly fields: readonly Field[];
  }
  | {
    readonly type: "route-changed";
    readonly host: string;
    readonly prefix: string;
    readonly changes: readonly FieldChange[];
  }
  | {
    readonly type: "service-added" | "service-removed";
    readonly service: string;
    readonly fields: readonly Field[];
  }
  | {
    readonly type: "service-changed";
    readonly service: string;
    readonly changes: readonly FieldChange[];
  }
  /** Whether requests need an API key. */
  | { readonly type: "keys-required"; readonly isRequired: boolean }
  | {
    readonly type: "account-added" | "account-removed";
    readonly account: string;
    readonly fields: readonly Field[];
    readonly keys: number;
  }
  | {
    readonly type: "account-changed";
    readonly account: string;
    readonly changes: readonly FieldChange[];
    readonly addedKeys: number;
    readonly removedKeys: number;
  };

/** A named value as operators read it. */
export interface Field {
  readonly name: string;
  readonly value: string;
}
