/**
 * Merges reports of evidence into sums.
 * @module
 */
import { countsOf } from "./count_call.ts";
import type { EvidenceReport, RouteCounts } from "./messages.ts";
import type { Evidence, Inbox } from "./state.ts";

/**
 * Limit on the sources in one inbox. Reports of further sources are dropped.
 */
const MAX_SOURCES = 2_048;

/**
 * Replaces the previous report of a source. The sums depend neither on the
 * order of reports, nor on repeats, nor on the loss of any but the newest.
 */
export function mergeReport(inbox: Inbox, report: EvidenceReport) {
  const before = inbox.sources.get(report.source);
  if (before === undefined && inbox.sources.size >= MAX_SOURCES) return;
  if (before !== undefined && before.seq >= report.seq) return;
  inbox.sources.set(report.source, report);
  let domain = inbox.byDomain.get(report.domain);
  if (domain === undefined) {
    domain = new Map();
    inbox.byDomain.set(report.domain, domain);
  }
  for (const sums of [domain, inbox.total]) {
    for (const counts of before?.counts ?? []) addCounts(sums, counts, -1);
    for (const counts of report.counts) addCounts(sums, counts, 1);
  }
}

/** Adds counts to sums, or subtracts them when the sign is -1. */
export function addCounts(
  sums: Evidence,
  counts: RouteCounts,
  sign: 1 | -1,
) {
  const sum = countsOf(sums, counts.side, counts.route);
  sum.calls += sign * counts.calls;
  sum.failures += sign * counts.failures;
  sum.overdue += sign * counts.overdue;
  counts.buckets.forEach((count, bucket) => {
    sum.buckets[bucket] = (sum.buckets[bucket] ?? 0) + sign * count;
  });
}
