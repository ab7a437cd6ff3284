/**
 * Sums up the load of one version of a service and of all other versions.
 * @module
 */
import type { MonotonicMs, NodeId } from "../core/types.ts";
import { type FleetState, liveRows } from "../fleet/state.ts";
import type { LocalHome } from "../endpoint_proxy/create_home.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import type { QueueReport } from "../queue/state.ts";
import type { VersionLoad } from "../traffic_shift/state.ts";

/** Options of `sumVersionLoad`. */
export interface SumVersionLoadOptions {
  readonly fleet: FleetState;
  readonly loadBalancing: LoadBalancingState;
  readonly home: LocalHome;
  readonly service: string;
  readonly version: string;
  readonly now: MonotonicMs;
}

/**
 * Age from which a report of a home is not used, in milliseconds. This node has
 * links to a part of the homes only, and idle ones report rarely.
 */
const MAX_REPORT_AGE_MS = 3_000;

/** Sums up the last queue reports of the home nodes. */
export function sumVersionLoad(opts: SumVersionLoadOptions): VersionLoad {
  const { fleet, loadBalancing, home, now } = opts;
  let [ready, calls, otherReady, otherCalls] = [0, 0, 0, 0];
  const callsAt = (node: NodeId): number => {
    const view = loadBalancing.views.get(node);
    if (node === fleet.self) return callsOf(home.report());
    // A home of which nothing is known may run a call.
    if (view === undefined || now - view.reportedAt > MAX_REPORT_AGE_MS) {
      return 1;
    }
    return callsOf(view.report);
  };
  for (const { row: { node, endpoint } } of liveRows(fleet)) {
    if (endpoint?.service !== opts.service) continue;
    if (endpoint.version === opts.version) {
      ready++;
      calls += callsAt(node);
    } else {
      otherReady++;
      otherCalls += callsAt(node);
    }
  }
  return { ready, calls, otherReady, otherCalls };
}

function callsOf(report: QueueReport): number {
  return report.running + report.waiting;
}
