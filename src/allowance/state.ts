/**
 * State of the limits on the requests of client accounts at one node.
 *
 * A node holds the same state up to three times, once for each tier that it
 * serves: its own requests, and those of the nodes that use it as allocator.
 * @module
 */
import type { Account } from "../accounts/state.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { AllowanceMessage } from "./messages.ts";

/**
 * Over any window, the requests of an account that reach endpoints stay within
 * `(perSecond * window + burst) * (1 + overage) + slack`.
 */
export interface AllowanceTerms {
  readonly windowMs: number;
  /** Fraction by which the allowance may be exceeded. */
  readonly overage: number;
  /** Requests by which the allowance may be exceeded. */
  readonly slack: number;
}

/** Term of a lease of a node's base share to the allocator of its domain. */
export const NODE_LEASE_MS = 600;

/**
 * Term of a lease of a domain to the fleet's allocator. It is shorter than what
 * is left of the nodes' leases when the domain's allocator is on time.
 */
export const FLEET_LEASE_MS = 300;

/** Time for which granted tokens may be used, in milliseconds. */
export const GRANT_MS = 300;

/**
 * Time after the start of a process in which it neither uses nor leases its
 * base share and accepts no leases, in milliseconds. Leases of and to an
 * earlier process of the node have expired by then.
 */
export const START_WAIT_MS = NODE_LEASE_MS;

export const TierName = {
  Node: "node",
  Domain: "domain",
  Fleet: "fleet",
} as const;
export type TierName = typeof TierName[keyof typeof TierName];

/** Times at which an event arrived. */
export interface AllowanceTime {
  /** Never runs faster than real time. Used for what this node generates. */
  readonly steady: MonotonicMs;
  /**
   * Advances by the greater of the monotonic and the wall clock's advance: the
   * monotonic clock does not count the time in which a VM was suspended. Used
   * for the expiry of what others let this node use.
   */
  readonly latest: MonotonicMs;
}

/** A share that a tier has used without interruption. */
export interface Part {
  readonly share: number;
  /** When the part starts to generate tokens. */
  readonly since: MonotonicMs;
}

/** A node that leases its share to this tier, or requests to do so. */
export interface Lender {
  readonly share: number;
  /** Expiry on this node's `latest` clock. */
  readonly until: MonotonicMs;
  readonly heardAt: MonotonicMs;
  /** Fractions of the share that the lender keeps, by account. */
  readonly kept: ReadonlyMap<string, number>;
}

/** Fraction of a tier's shares that its leases up to some time kept back. */
export interface Keep {
  readonly ratio: number;
  readonly until: MonotonicMs;
}

/** Tokens that were granted and may still be used. */
export interface Batch {
  readonly count: number;
  readonly until: MonotonicMs;
}

/** A request, or the request of a lower tier, that waits for tokens. */
export type Waiter =
  | {
    readonly type: "request";
    readonly key: number;
    readonly until: MonotonicMs;
  }
  | {
    readonly type: "ask";
    readonly from: NodeId;
    readonly to: TierName;
    /** Time of the ask on the clock of the node that sent it. */
    readonly stamp: MonotonicMs;
    readonly count: number;
    readonly until: MonotonicMs;
  };

/** An account with recent demand at a tier. */
export interface Entry {
  /** The shares that the tier uses for this account, as `Tier.parts`. */
  parts: Part[];
  /**
   * What the leases that have not expired keep back for this account; the newest
   * is last. Leases keep nothing of accounts without an entry.
   */
  kept: Keep[];
  /** Tokens generated from the tier's shares. */
  level: number;
  refilledAt: MonotonicMs;
  /**
   * Tokens taken from `level` that may still be in use elsewhere. They count
   * toward the capacity of the bucket. Expiries are on the steady clock.
   */
  granted: Batch[];
  /** Tokens received. Expiries are on the `latest` clock. */
  received: Batch[];
  waiters: Waiter[];
  /** Decaying count of requested tokens. */
  demand: number;
  demandAt: MonotonicMs;
  /** Demand over seconds, as a fraction of the tier's shares. */
  trend: number;
  trendAt: MonotonicMs;
  /** The ask in flight to the upper tier. */
  asked:
    | { readonly stamp: MonotonicMs; readonly at: MonotonicMs }
    | undefined;
  /** Before this time no further ask is sent. */
  askAfter: MonotonicMs;
  /** Until then the upper tier has no token for this account. */
  shortUntil: MonotonicMs;
  /** Wait that the upper tier last stated; 0 if it granted all. */
  statedWaitMs: number;
  /** Whether the account has tokens to spare, as the upper tier last stated. */
  hasSpare: boolean;
}

export interface Tier {
  readonly name: TierName;
  /** Allocator of the next tier. */
  upstream: NodeId | undefined;
  /** When the upstream last sent a beat. */
  beatAt: MonotonicMs;
  joinedAt: MonotonicMs;
  readonly lenders: Map<NodeId, Lender>;
  /** When this tier last sent beats to its lenders. */
  beatSentAt: MonotonicMs;
  /** Sum of the shares that the lenders leased, or the node's base share. */
  held: number;
  /** The lease of this tier's shares to its upstream. */
  lent:
    | { readonly to: NodeId; readonly until: MonotonicMs }
    | undefined;
  /**
   * The shares that the tier uses for accounts without an entry, oldest first.
   * When shares are lost, the newest are removed, so that no time is counted in
   * which they were not held.
   */
  parts: Part[];
  readonly entries: Map<string, Entry>;
  /** Accounts with waiters. */
  readonly waiting: Set<string>;
}

export interface AllowanceState {
  readonly self: NodeId;
  readonly terms: AllowanceTerms;
  readonly startedAt: MonotonicMs;
  accounts: ReadonlyMap<string, Account>;
  /** Number of nodes among which the allowances are divided. */
  nodeCount: number;
  readonly tiers: Readonly<Record<TierName, Tier>>;
  sweptAt: MonotonicMs;
}

export type AllowanceEvent =
  /** A request of an account arrived. */
  | {
    readonly type: "requested";
    readonly account: string;
    /** Unique among the requests of this node. */
    readonly key: number;
    readonly time: AllowanceTime;
  }
  /** An admitted request is certain not to have reached an endpoint. */
  | {
    readonly type: "returned";
    readonly account: string;
    /** Expiry from the `admit` effect. */
    readonly until: MonotonicMs;
    readonly time: AllowanceTime;
  }
  | {
    readonly type: "received";
    readonly from: NodeId;
    readonly message: AllowanceMessage;
    readonly time: AllowanceTime;
  }
  | {
    readonly type: "accounts-changed";
    readonly accounts: ReadonlyMap<string, Account>;
    readonly time: AllowanceTime;
  }
  /** Other nodes were found or lost. */
  | {
    readonly type: "fleet-changed";
    readonly nodeCount: number;
    /** Allocator of this node's failure domain. */
    readonly domain: NodeId | undefined;
    /** Allocator of the fleet. */
    readonly fleet: NodeId | undefined;
    readonly time: AllowanceTime;
  }
  | { readonly type: "ticked"; readonly time: AllowanceTime };

export type AllowanceEffect =
  | {
    readonly type: "send";
    readonly to: NodeId;
    readonly message: AllowanceMessage;
  }
  | {
    readonly type: "admit";
    readonly key: number;
    /** Until then the token may be returned. */
    readonly until: MonotonicMs;
  }
  | {
    readonly type: "refuse";
    readonly key: number;
    /** Time until the account has capacity again. */
    readonly waitMs: number;
  };

/** Options of `createAllowanceState`. */
export interface CreateAllowanceStateOptions {
  readonly self: NodeId;
  readonly terms: AllowanceTerms;
  readonly time: AllowanceTime;
}

export function createAllowanceState(
  opts: CreateAllowanceStateOptions,
): AllowanceState {
  return {
    self: opts.self,
    terms: opts.terms,
    startedAt: opts.time.steady,
    accounts: new Map(),
    nodeCount: Infinity,
    tiers: {
      node: createTier(TierName.Node),
      domain: createTier(TierName.Domain),
      fleet: createTier(TierName.Fleet),
    },
    sweptAt: opts.time.steady,
  };
}

function createTier(name: TierName): Tier {
  return {
    name,
    upstream: undefined,
    beatAt: -Infinity,
    joinedAt: -Infinity,
    lenders: new Map(),
    beatSentAt: -Infinity,
    held: 0,
    lent: undefined,
    parts: [],
    entries: new Map(),
    waiting: new Set(),
  };
}
