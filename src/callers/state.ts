/**
 * The parts of the node that serve requests.
 * @module
 */
import type {
  RetryBudgetState,
  RetryBudgetTerms,
} from "../retry_budget/state.ts";
import type { CallerTimeouts } from "./estimate_age.ts";
import type { Homes } from "../calls/state.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import type { FleetState } from "../fleet/state.ts";
import type { Log } from "../logs/create_log.ts";
import type { Metrics } from "../metrics/create_metrics.ts";
import type { LoadBalancingState } from "../load_balancing/state.ts";
import type { QueueReport } from "../queue/state.ts";
import type { RoutesState } from "../routes/state.ts";
import type { AllowanceService } from "../sidecar/create_allowance_service.ts";
import type { CallDialect } from "../sidecar/platform_port.ts";
import type { CheckedCall } from "../quarantine/fingerprint_of.ts";
import type { TrafficShiftState } from "../traffic_shift/state.ts";

/** The parts of the node that a request is served with. */
export interface CallContext {
  readonly self: NodeId;
  readonly domain: string;
  readonly service: string;
  readonly routes: RoutesState;
  readonly trafficShift: TrafficShiftState;
  readonly fleet: FleetState;
  readonly loadBalancing: LoadBalancingState;
  readonly budget: RetryBudgetState;
  /** Returns the terms in force; they change when the settings are reloaded. */
  readonly budgetTerms: () => RetryBudgetTerms;
  readonly timeouts: CallerTimeouts;
  /** Mean size of the answers of each route, in bytes. */
  readonly answerBytes: Map<string, number>;
  readonly homes: Homes;
  /** Called when a home runs another endpoint than its gossip row states. */
  readonly verifyHome: (home: NodeId) => void;
  /**
   * Calls back once a link to a home of the service opens. Returns a function
   * that cancels the callback, or undefined if no such link is expected.
   */
  readonly awaitHome: (
    service: string,
    onReady: () => void,
  ) => (() => void) | undefined;
  /**
   * Records a call to a service, and whether its linked homes seem to be full.
   */
  readonly recordDemand: (service: string, isFull: boolean) => void;
  /** Whether the endpoint on this VM runs the call with this id. */
  readonly isRunningHere: (callId: string) => boolean;
  /** How long the endpoint on this VM has run the call with this id. */
  readonly runMsOf: (callId: string) => number;
  /** `OfferedCall.deadlineRatio` of a call that the endpoint on this VM runs. */
  readonly deadlineRatioOf: (callId: string) => number | undefined;
  /** Records that a nested call of the run with this id failed. */
  readonly recordNestedFailure: (callId: string) => void;
  /**
   * Number of endpoints that crashed one after the other while they ran the
   * request.
   */
  readonly countCrashes: (
    target: string,
    describe: () => CheckedCall,
  ) => number;
  /**
   * Requests the admission of a request by its account's quota. Calls back once,
   * at once or within 100 ms.
   */
  readonly admitAccount: AllowanceService["admit"];
  /** Queue report of the endpoint on this VM, for a route. */
  readonly ownReport: (route: string) => QueueReport;
  /** Bytes of answers that their receivers have not read yet. */
  readonly unsentBytes: () => number;
  readonly dialect: CallDialect;
  readonly log: Log;
  readonly metrics: Metrics;
  /** Lag of the event loop: how long a request may have waited to be read. */
  readonly lagMs: () => number;
  readonly now: () => MonotonicMs;
  readonly random: () => number;
}
