/**
 * Judges whether the endpoint on this VM may be used by the pings of it that
 * have arrived.
 *
 * A process that has just started does not know which instances have left: an
 * earlier process may have confirmed it while the store could not be reached,
 * and the other nodes may have restarted too. A ping may be seconds late, so it
 * does not prove that its sender has not left since. Several pings may be late;
 * the endpoint itself states on its health path whether it is leaving.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import type { LocalEndpointState, Presence } from "./state.ts";

/**
 * Longest time that a ping may take to arrive, in milliseconds. Whoever sent a
 * ping that arrives later than this after the start of the process has not left
 * before that start.
 */
export const MAX_PING_DELAY_MS = 10_000;

/**
 * Number of ping intervals for which a ping counts if earlier pings came at
 * intervals too: one ping may be lost.
 */
const PING_LEASE_INTERVALS = 2;

/**
 * Time between two pings, as a fraction of the ping interval, that shows that
 * the endpoint pings regularly. Delayed pings may arrive together.
 */
const MIN_INTERVAL_SHARE = 0.5;

/** A ping that counts for the current instance. */
export interface CountedPing {
  /** Whether it is the first ping of its start that this process counts. */
  readonly isFirst: boolean;
  /** When the instance started, by the wall clock. */
  readonly bornAt: number;
  readonly now: MonotonicMs;
}

/** Returns the presence of the current instance after a ping of it. */
export function judgePresence(
  state: LocalEndpointState,
  ping: CountedPing,
): Presence {
  const { start, isInformed, presence } = state;
  const { now } = ping;
  if (
    isInformed || ping.bornAt >= start.wallAt ||
    now - start.at >= MAX_PING_DELAY_MS ||
    (!ping.isFirst && presence.type === "proven")
  ) {
    return { type: "proven" };
  }
  const { since, isDenied } = ping.isFirst || presence.type === "proven"
    ? { since: now, isDenied: false }
    : presence;
  const isRegular = now - since >= start.pingIntervalMs * MIN_INTERVAL_SHARE;
  const until = isRegular && !isDenied
    ? now + start.pingIntervalMs * PING_LEASE_INTERVALS
    : start.at + start.unprovenMs;
  return assumeUntil({ since, isDenied, until, now });
}

/**
 * Returns the presence of the current instance after its answer to a health
 * request. Health answers may be false, so a good one proves nothing.
 */
export function judgeHealth(
  { start, presence }: LocalEndpointState,
  isDenied: boolean,
  now: MonotonicMs,
): Presence {
  switch (presence.type) {
    case "proven":
      return presence;
    case "overdue":
      return { ...presence, isDenied };
    case "assumed": {
      const { since } = presence;
      const until = isDenied ? start.at + start.unprovenMs : presence.until;
      return assumeUntil({ since, isDenied, until, now });
    }
    default:
      return exhausted(presence);
  }
}

/**
 * Whether it is of use to ask the current instance for its health: it is used
 * for its regular pings only, or it is not used for its last health answer.
 */
export function isHealthWanted({ start, presence }: LocalEndpointState) {
  if (presence.type === "proven") return false;
  const isRegular = presence.type === "assumed" &&
    presence.until > start.at + start.unprovenMs;
  return isRegular || presence.isDenied;
}

/** Returns the presence after time has passed. */
export function judgeTime(
  { presence }: LocalEndpointState,
  now: MonotonicMs,
): Presence {
  return presence.type === "assumed"
    ? assumeUntil({ ...presence, now })
    : presence;
}

interface Assumption {
  readonly since: MonotonicMs;
  readonly isDenied: boolean;
  readonly until: MonotonicMs;
  readonly now: MonotonicMs;
}

function assumeUntil(
  { since, isDenied, until, now }: Assumption,
): Presence {
  return until > now
    ? { type: "assumed", since, until, isDenied }
    : { type: "overdue", since, isDenied };
}

/** Whether the current instance gets calls, as far as its pings decide. */
export function isPresent({ presence }: LocalEndpointState): boolean {
  return presence.type !== "overdue";
}
