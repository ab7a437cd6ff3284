/**
 * Sends a node's evidence to the domain's preferred reader, and the domain's
 * sum to the lease holder.
 * @module
 */
import type { Lease } from "../config_log/state.ts";
import { makeReport } from "./make_report.ts";
import { mergeReport } from "./merge_report.ts";
import { type EvidenceReport, ReportLevel } from "./messages.ts";
import type {
  RolloutEffect,
  RolloutState,
  TickedEvent,
  TrackedRollout,
} from "./state.ts";

/** Returns the receiver id of a reader: its node id and boot id. */
export function readerName(id: string, boot: string): string {
  return `${id}/${boot}`;
}

/** Returns the receiver id of a lease holder: its node id and lease term. */
export function holderName(id: string, term: number): string {
  return `${id}#${term}`;
}

/** Sends the reports that are due. Merges those for this node directly. */
export function sendEvidence(
  state: RolloutState,
  tracked: TrackedRollout,
  event: TickedEvent,
  lease: Lease | undefined,
): readonly RolloutEffect[] {
  const { now } = event;
  const rolloutId = tracked.rollout.id;
  const effects: RolloutEffect[] = [];
  const [reader] = event.readers;
  if (reader !== undefined) {
    const report = makeReport({
      state,
      outbox: tracked.toReader,
      rolloutId,
      level: ReportLevel.Node,
      receiverId: readerName(reader.id, reader.boot),
      evidence: tracked.local,
      now,
    });
    if (report && reader.id === state.self) mergeReport(tracked.domain, report);
    else if (report) effects.push(sendReport(reader.id, report));
  }
  const isPreferred = reader?.id === state.self;
  const collectsReports = isPreferred || tracked.domain.total.size > 0;
  if (lease === undefined || !collectsReports) return effects;
  const report = makeReport({
    state,
    outbox: tracked.toHolder,
    rolloutId,
    level: ReportLevel.Domain,
    receiverId: holderName(lease.holder, lease.term),
    evidence: tracked.domain.total,
    now,
  });
  if (report === undefined) return effects;
  if (lease.holder !== state.self) {
    return [...effects, sendReport(lease.holder, report)];
  }
  if (tracked.leadership) mergeReport(tracked.leadership.inbox, report);
  return effects;
}

function sendReport(to: string, report: EvidenceReport): RolloutEffect {
  return { type: "send", to, message: { type: "rollout/evidence", report } };
}
