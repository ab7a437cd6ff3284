/**
 * Sums up the load of one version of a service and of all other versions.
 * @module
 */
import type { FleetState } from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import type { Candidate, LoadBalancingState } from "../load_balancing/state.ts";
import type { QueueReport } from "../queue/state.ts";
import type { VersionLoad } from "../traffic_shift/state.ts";

/** Options of `sumVersionLoad`. */
export interface SumVersionLoadOptions {
  readonly fleet: FleetState;
  readonly loadBalancing: LoadBalancingState;
  readonly home: LocalHome;
  readonly service: string;
  readonly version: string;
}

/** Sums up the last queue reports of the home nodes. */
export function sumVersionLoad(opts: SumVersionLoadOptions): VersionLoad {
  const { fleet, loadBalancing, home } = opts;
  let [ready, calls, otherReady, otherCalls] = [0, 0, 0, 0];
  const reportOf = (candidate: Candidate): QueueReport | undefined =>
    candidate.home === fleet.self
      ? home.report()
      : loadBalancing.views.get(candidate.home)?.report;
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
