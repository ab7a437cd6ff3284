/**
 * Formats findings for operators.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { Finding } from "./state.ts";

/** Returns one sentence without the place in the file. */
export function formatFinding(finding: Finding): string {
  switch (finding.type) {
    case "zero-weight":
      return `route ${finding.route}: service ${finding.service} has weight ` +
        "0 and gets no requests";
    case "overridden-service":
      return `route ${finding.route}: service ${finding.service} is ignored, ` +
        "because the rule has weighted services";
    case "replaced-service":
      return `service ${finding.service} is defined again, and the last ` +
        "definition counts";
    case "burst-without-rate":
      return `account ${finding.account}: the burst of ${finding.burst} is ` +
        "ignored, because the account has no rate";
    case "repeated-key":
      return `account ${finding.account} lists the same key more than once ` +
        `(repeats: ${finding.repeats})`;
    case "host-with-port":
      return `no request matches host ${finding.host}, because ports are ` +
        "removed before the lookup";
    case "malformed-host":
      return `no request matches host ${JSON.stringify(finding.host)}, ` +
        "because no Host header may contain such characters";
    case "host-without-routes":
      return `host ${finding.host} has no rules`;
    case "unreachable-prefix":
      return `route ${finding.route}: no request path begins with ` +
        JSON.stringify(finding.prefix);
    case "unused-service":
      return `no rule sends requests to service ${finding.service}`;
    case "account-without-key":
      return `account ${finding.account} has no key, so no request is its own`;
    case "objective-over-timeout":
      return `route ${finding.route}: the latency objective of ` +
        `${finding.objectiveMs} ms is over the timeout of ` +
        `${finding.timeoutMs} ms`;
    case "burst-over-rate":
      return `account ${finding.account}: the rate of ` +
        `${finding.allowance.perSecond} per second is below the burst of ` +
        `${finding.allowance.burst}`;
    case "version-not-newer":
      return `nodes ignore version ${finding.version}, because version ` +
        `${finding.versionInForce} is in force`;
    default:
      return exhausted(finding);
  }
}
