/**
 * Describes how a request is answered that is refused for its API key.
 * @module
 */
import { type KeyCheck, KeyFault } from "../accounts/check_key.ts";
import { exhausted } from "../core/exhausted.ts";

/** Answer to a request that may not be served. */
export interface KeyRefusal {
  readonly status: 401 | 503;
  readonly reason: string;
  /** Undefined if the key is not at fault. */
  readonly fault: KeyFault | undefined;
}

/** Returns undefined if the request may be served. */
export function describeKeyRefusal(check: KeyCheck): KeyRefusal | undefined {
  switch (check.type) {
    case "account":
    case "no-account":
      return undefined;
    case "unknown-key": {
      const { fault } = check;
      return { status: 401, reason: describeFault(fault), fault };
    }
    case "no-table": {
      const reason = "no route table is known yet";
      return { status: 503, reason, fault: undefined };
    }
    case "unknown-parent": {
      const reason = "its parent call is not known to run here";
      return { status: 503, reason, fault: undefined };
    }
    default:
      return exhausted(check);
  }
}

/** Describes a fault for the caller and the log, without the key. */
export function describeFault(fault: KeyFault): string {
  switch (fault) {
    case KeyFault.Missing:
      return "the request has no API key";
    case KeyFault.Several:
      return "the request has several API keys";
    case KeyFault.Unknown:
      return "the API key is unknown";
    case KeyFault.Revoked:
      return "the API key was revoked";
    default:
      return exhausted(fault);
  }
}
