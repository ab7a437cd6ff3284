/**
 * Replays a trace and judges its stated outcomes.
 * @module
 */
import { err, ok, type Result } from "neverthrow";
import type { LagoonError } from "../core/errors.ts";
import { createCheck } from "./outcomes/create_check.ts";
import { type Finding, OutcomeName } from "./outcomes/outcome.ts";
import { replaySlices } from "./replay_slices.ts";
import { replayTrace } from "./replay_trace.ts";
import type { TracedDecision } from "./traced_decision.ts";

/** Options of `checkTrace`. */
export interface CheckTraceOptions {
  readonly file: string;
  readonly lines: readonly string[];
  /** Names of the outcomes that must hold. */
  readonly outcomes: readonly string[];
}

/** What a trace that holds came to. */
export interface TraceReport {
  readonly decisions: number;
  readonly nodes: number;
}

interface Tally {
  readonly name: OutcomeName;
  readonly check: ReturnType<typeof createCheck>;
  isSeen: boolean;
  broken: string | undefined;
}

/** Fails at a divergence, or at an outcome that is broken or never seen. */
export function checkTrace(
  opts: CheckTraceOptions,
): Result<TraceReport, LagoonError> {
  const names = Object.values(OutcomeName);
  const unknown = opts.outcomes.find((one) => !names.some((n) => n === one));
  if (unknown !== undefined || opts.outcomes.length === 0) {
    return err(outcomeError(opts.file, unknown ?? "none", "is not known"));
  }
  const tallies: Tally[] = names
    .filter((name) => opts.outcomes.includes(name))
    .map((name) => ({
      name,
      check: createCheck(name),
      isSeen: false,
      broken: undefined,
    }));
  let node = "";
  const nodes = new Set<string>();
  const replayed = replayTrace({
    file: opts.file,
    lines: opts.lines,
    slices: replaySlices,
    onRecording(next) {
      if (node !== "") finishRecording(tallies);
      node = next;
      nodes.add(next);
    },
    onDecision(decision) {
      // The registry gives each slice's decision its own types.
      const traced = { ...decision, node } as TracedDecision;
      for (const tally of tallies) {
        take(tally, tally.check.note(traced), `line ${decision.line}`);
      }
    },
  });
  if (replayed.isErr()) return err(replayed.error);
  finishRecording(tallies);
  for (const tally of tallies) {
    take(tally, tally.check.finish?.(), "the end");
    const { name, broken, isSeen } = tally;
    if (broken !== undefined) return err(outcomeError(opts.file, name, broken));
    if (!isSeen) return err(outcomeError(opts.file, name, "is never seen"));
  }
  return ok({ decisions: replayed.value, nodes: nodes.size });
}

function finishRecording(tallies: readonly Tally[]) {
  for (const tally of tallies) {
    take(tally, tally.check.finishRecording?.(), "a recording's end");
  }
}

function take(tally: Tally, finding: Finding | undefined, where: string) {
  if (finding === undefined) return;
  tally.isSeen = true;
  if (finding.type === "broken") {
    tally.broken ??= `is broken at ${where}: ${finding.reason}`;
  }
}

function outcomeError(
  file: string,
  outcome: string,
  reason: string,
): LagoonError {
  return {
    code: "LAGOON_TRACE_OUTCOME",
    step: `replay ${file}`,
    message: `outcome ${outcome} ${reason}`,
    hint: "A promise does not hold. Mend the decision, not the outcome.",
  };
}
