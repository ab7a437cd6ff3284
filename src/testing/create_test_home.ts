/**
 * The home node's call path to an endpoint that a test runs. The home node is
 * the node on the endpoint's VM.
 * @module
 */
import type { TestContext } from "node:test";
import {
  createHome,
  type LocalHome,
  type SuspectRecords,
} from "../endpoint_proxy/create_home.ts";
import type { RouteTable } from "../routes/state.ts";
import type { Run } from "../traffic_shift/count_run.ts";
import { ANNOUNCED_INSTANCE } from "./announced_instance.ts";
import { testDialect } from "./test_dialect.ts";

/** Options of `createTestHome`. */
export interface CreateTestHomeOptions {
  /** `host:port` of the endpoint. */
  readonly address: string;
  readonly onRun?: (run: Run) => void;
  readonly now?: () => number;
  readonly suspects?: SuspectRecords;
  readonly table?: () => RouteTable | undefined;
}

const NO_SUSPECTS: SuspectRecords = {
  crashesOf: () => 0,
  recordCrash: () => {},
  recordAnswer: () => {},
};

/** Creates the call path of a home node and closes it after the test. */
export function createTestHome(
  t: TestContext,
  opts: CreateTestHomeOptions,
): LocalHome {
  const home = createHome({
    endpointAddress: opts.address,
    dialect: testDialect,
    now: opts.now ?? (() => performance.now()),
    onRun: opts.onRun ?? (() => {}),
    onShed: () => {},
    onLateRun: () => {},
    onUntrustedAnswer: () => {},
    onUnusableEndpoint: () => {},
    unsentBytes: () => 0,
    onMisdirected: () => {},
    suspects: opts.suspects ?? NO_SUSPECTS,
    table: opts.table ?? (() => undefined),
    onColdLimit: () => {},
    onStartDelayed: () => {},
    onHealthFailed: () => {},
  });
  home.setTerms(undefined);
  home.setInstance(ANNOUNCED_INSTANCE, "");
  t.after(() => home.close());
  return home;
}
