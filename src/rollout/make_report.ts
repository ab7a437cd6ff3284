/**
 * Makes the next report of evidence for one receiver.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { addCounts } from "./merge_report.ts";
import { type EvidenceReport, ReportLevel } from "./messages.ts";
import type { Evidence, Outbox, RolloutState } from "./state.ts";

const reportGapMs = 1_000;
/** Gap while calls fail or hang. */
const urgentGapMs = 250;
/** Gap at which an unchanged report is repeated, in case it was lost. */
const repeatMs = 2_000;

/** Options of `makeReport`. */
export interface MakeReportOptions {
  readonly state: RolloutState;
  readonly outbox: Outbox;
  readonly rollout: string;
  readonly level: ReportLevel;
  /** Start of a reader, or term of a holder. */
  readonly receiver: string;
  readonly evidence: Evidence;
  readonly now: MonotonicMs;
}

/**
 * Returns a report when one is due. For a new reader it starts from what no
 * earlier reader was told, so that nothing counts twice.
 */
export function makeReport(
  opts: MakeReportOptions,
): EvidenceReport | undefined {
  const { outbox, evidence, receiver } = opts;
  if (outbox.receiver !== receiver) {
    outbox.receiver = receiver;
    outbox.epoch++;
    outbox.seq = 0;
    // A holder sums only what its own term was told, so it is told all. A
    // reader's sum goes to the same holder as the sum of the reader before.
    if (opts.level === ReportLevel.Node) {
      outbox.base = copyEvidence(outbox.sent);
    }
  }
  if (opts.now - outbox.sentAt < gapOf(opts)) return undefined;
  outbox.sentAt = opts.now;
  outbox.seq++;
  outbox.sent = copyEvidence(evidence);
  const { self, boot, domain } = opts.state;
  return {
    rollout: opts.rollout,
    level: opts.level,
    source: `${self}/${boot}/${opts.level}/${outbox.epoch}`,
    seq: outbox.seq,
    domain,
    receiver,
    counts: [...subtract(evidence, outbox.base).values()],
  };
}

function gapOf(opts: MakeReportOptions): number {
  const { outbox, evidence, level } = opts;
  if (isUrgent(outbox, evidence)) return urgentGapMs;
  if (hasChanged(outbox, evidence)) return reportGapMs;
  // A domain without calls reports too, so that its reader hears the holder.
  const isQuiet = evidence.size === 0 && level === ReportLevel.Node;
  return isQuiet ? Infinity : repeatMs;
}

function isUrgent(outbox: Outbox, evidence: Evidence): boolean {
  // Failures of either side, as reports of one alone would be biased.
  return [...evidence].some(([key, { failures, overdue }]) => {
    const sent = outbox.sent.get(key);
    return failures + overdue > (sent?.failures ?? 0) + (sent?.overdue ?? 0);
  });
}

function hasChanged(outbox: Outbox, evidence: Evidence): boolean {
  return [...evidence].some(([key, counts]) => {
    const sent = outbox.sent.get(key);
    return counts.calls !== (sent?.calls ?? 0) ||
      counts.failures !== (sent?.failures ?? 0);
  });
}

/** Copies sums so that later calls do not change them. */
export function copyEvidence(evidence: Evidence): Evidence {
  return new Map(
    [...evidence].map(([key, counts]) => [
      key,
      { ...counts, buckets: [...counts.buckets] },
    ]),
  );
}

/** Returns `evidence - base`. */
export function subtract(evidence: Evidence, base: Evidence): Evidence {
  const rest = copyEvidence(evidence);
  for (const counts of base.values()) addCounts(rest, counts, -1);
  return rest;
}
