/**
 * Creates the next report of evidence for one receiver.
 * @module
 */
import type { MonotonicMs } from "../core/types.ts";
import { addCounts } from "./merge_report.ts";
import { type EvidenceReport, ReportLevel } from "./messages.ts";
import type { Evidence, Outbox, RolloutState } from "./state.ts";

const REPORT_INTERVAL_MS = 1_000;
/** Interval while calls fail or become overdue. */
const URGENT_REPORT_INTERVAL_MS = 250;
/** Interval at which an unchanged report is repeated, in case it was lost. */
const UNCHANGED_REPORT_INTERVAL_MS = 2_000;

/** Options of `makeReport`. */
export interface MakeReportOptions {
  readonly state: RolloutState;
  readonly outbox: Outbox;
  readonly rolloutId: string;
  readonly level: ReportLevel;
  /** Node id with its boot id (a reader) or lease term (the lease holder). */
  readonly receiverId: string;
  readonly evidence: Evidence;
  readonly now: MonotonicMs;
}

/**
 * Returns a report when one is due. A report to a new reader leaves out what
 * was sent to earlier readers, so that each call is counted once.
 */
export function makeReport(
  opts: MakeReportOptions,
): EvidenceReport | undefined {
  const { outbox, evidence, receiverId } = opts;
  if (outbox.receiverId !== receiverId) {
    outbox.receiverId = receiverId;
    outbox.epoch++;
    outbox.seq = 0;
    // A new lease holder starts without evidence, so it receives all counts. A
    // new reader's sums are added to the previous reader's at the same lease
    // holder, so it receives only what the previous one did not.
    if (opts.level === ReportLevel.Node) {
      outbox.base = copyEvidence(outbox.sent);
    }
  }
  if (opts.now - outbox.sentAt < reportIntervalMs(opts)) return undefined;
  outbox.sentAt = opts.now;
  outbox.seq++;
  outbox.sent = copyEvidence(evidence);
  const { self, boot, domain } = opts.state;
  return {
    rollout: opts.rolloutId,
    level: opts.level,
    source: `${self}/${boot}/${opts.level}/${outbox.epoch}`,
    seq: outbox.seq,
    domain,
    receiver: receiverId,
    counts: [...subtract(evidence, outbox.base).values()],
  };
}

function reportIntervalMs(opts: MakeReportOptions): number {
  const { outbox, evidence, level } = opts;
  if (isUrgent(outbox, evidence)) return URGENT_REPORT_INTERVAL_MS;
  if (hasChanged(outbox, evidence)) return REPORT_INTERVAL_MS;
  // A domain without calls also reports, so that the lease holder sends
  // heartbeats to its reader.
  const isQuiet = evidence.size === 0 && level === ReportLevel.Node;
  return isQuiet ? Infinity : UNCHANGED_REPORT_INTERVAL_MS;
}

function isUrgent(outbox: Outbox, evidence: Evidence): boolean {
  // Failures of both sides count: to report those of one side sooner would bias
  // the comparison.
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

/** Copies sums, so that later calls do not change the copy. */
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
  const difference = copyEvidence(evidence);
  for (const counts of base.values()) addCounts(difference, counts, -1);
  return difference;
}
