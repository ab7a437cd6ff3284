/**
 * Replays a trace and checks the outcomes that must hold for it.
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

/** Counts of a trace whose outcomes all hold. */
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

/**
 * Replays the trace. Fails if a decision differs from the recorded one, or if a
 * named outcome is violated or never observed.
 */
export function checkTrace(
  opts: CheckTraceOptions,
): Result<TraceReport, LagoonError> {
  const names = Object.values(OutcomeName);
  const unknown = opts.outcomes.find((one) => !names.some((n) => n === one));
  if (unknown !== undefined || opts.outcomes.length === 0) {
    return err(outcomeError(opts.file, unknown ?? "none", "is unknown"));
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
      // `replaySlices` is keyed by slice, so the event fits the slice's type.
      const traced = { ...decision, node } as TracedDecision;
      for (const tally of tallies) {
        recordFinding(
          tally,
          tally.check.observe(traced),
          `line ${decision.line}`,
        );
      }
    },
  });
  if (replayed.isErr()) return err(replayed.error);
  finishRecording(tallies);
  for (const tally of tallies) {
    recordFinding(tally, tally.check.finish?.(), "the end of the trace");
    const { name, broken, isSeen } = tally;
    if (broken !== undefined) return err(outcomeError(opts.file, name, broken));
    if (!isSeen) return err(outcomeError(opts.file, name, "is never seen"));
  }
  return ok({ decisions: replayed.value, nodes: nodes.size });
}

function finishRecording(tallies: readonly Tally[]) {
  for (const tally of tallies) {
    recordFinding(
      tally,
      tally.check.finishRecording?.(),
      "the end of a recording",
    );
  }
}

function recordFinding(
  tally: Tally,
  finding: Finding | undefined,
  where: string,
) {
  if (finding === undefined) return;
  tally.isSeen = true;
  if (finding.type === "broken") {
    tally.broken ??= `is violated at ${where}: ${finding.reason}`;
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
    hint: "A guarantee is violated. Correct the decision, not the outcome.",
  };
}
