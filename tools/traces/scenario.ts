/**
 * What a trace is recorded of, and the fleets that scenarios share.
 * @module
 */
import { OutcomeName as Outcome } from "../../src/trace/outcomes/outcome.ts";
import type { Bench, StartBenchOptions } from "./start_bench.ts";

export interface Scenario {
  readonly name: string;
  readonly fleet: StartBenchOptions;
  readonly outcomes: readonly Outcome[];
  /** Runs after the first lists are in force. */
  readonly run: (bench: Bench) => Promise<void>;
}

/** Outcomes of every scenario that changes the lists. */
export const lists = [
  Outcome.VersionNeverFalls,
  Outcome.AcceptedEditInForce,
  Outcome.DigestAgrees,
];

export const one = { domains: ["nl-west-a"], nodes: 3, versions: ["v1"] };
export const two = { ...one, domains: ["nl-west-a", "nl-west-b"], nodes: 4 };
export const moving = { ...one, versions: ["v1", "v2"] };
