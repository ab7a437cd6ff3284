/**
 * A scenario that a trace is recorded from, and the fleets and outcomes that
 * several scenarios use.
 * @module
 */
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import type { Bench, StartBenchOptions } from "./start_bench.ts";

export interface Scenario {
  readonly name: string;
  readonly fleet: StartBenchOptions;
  /** Outcomes that a replay of the trace must show. */
  readonly outcomes: readonly Outcome[];
  /** Called once every node serves the first configuration. */
  readonly run: (bench: Bench) => Promise<void>;
}

/** Outcomes of every scenario that edits the configuration lists. */
export const LIST_OUTCOMES = [
  Outcome.VersionNeverFalls,
  Outcome.AcceptedEditInForce,
  Outcome.DigestAgrees,
];

/** Three nodes in one failure domain, with one upstream at version v1. */
export const SINGLE_DOMAIN = {
  domains: ["nl-west-a"],
  nodes: 3,
  versions: ["v1"],
};
/** Four nodes in two failure domains, with one upstream at version v1. */
export const TWO_DOMAINS = {
  ...SINGLE_DOMAIN,
  domains: ["nl-west-a", "nl-west-b"],
  nodes: 4,
};
/** Three nodes in one failure domain, with an upstream of each version. */
export const TWO_VERSIONS = { ...SINGLE_DOMAIN, versions: ["v1", "v2"] };
