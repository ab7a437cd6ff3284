/**
 * Load of one version of a service against all others.
 * @module
 */
import type { FleetState } from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import type { Candidate, LoadBalancingState } from "../load_balancing/state.ts";
import type { QueueReport } from "../queue/state.ts";
import type { VersionLoad } from "../traffic_shift/state.ts";

/** Options of `loadOfVersion`. */
export interface LoadOfVersionOptions {
  readonly fleet: FleetState;
  readonly placement: LoadBalancingState;
  readonly home: LocalHome;
  readonly service: string;
  readonly version: string;
}

/** Sums up what homes last reported. */
export function loadOfVersion(opts: LoadOfVersionOptions): VersionLoad {
  const { fleet, placement, home } = opts;
  let [ready, calls, otherReady, otherCalls] = [0, 0, 0, 0];
  const reportOf = (candidate: Candidate): QueueReport | undefined =>
    candidate.home === fleet.self
      ? home.report()
      : placement.views.get(candidate.home)?.report;
  for (const [version, candidates] of fleet.byService.get(opts.service) ?? []) {
    for (const candidate of candidates) {
      const report = reportOf(candidate);
      const sum = (report?.running ?? 0) + (report?.waiting ?? 0);
      if (version === opts.version) {
        ready++;
        calls += sum;
      } else {
        otherReady++;
        otherCalls += sum;
      }
    }
  }
  return { ready, calls, otherReady, otherCalls };
}
