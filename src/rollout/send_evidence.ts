/**
 * Sends a node's evidence to the domain's preferred reader, and the domain's sum
 * to the lease holder.
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
  Track,
} from "./state.ts";

/** Receiver name of one process start of a reader. */
export function readerName(id: string, boot: string): string {
  return `${id}/${boot}`;
}

/** Receiver name of one term of a lease holder. */
export function holderName(id: string, term: number): string {
  return `${id}#${term}`;
}

/** Sends the reports that are due. Merges those for this node directly. */
export function sendEvidence(
  state: RolloutState,
  track: Track,
  event: TickedEvent,
  lease: Lease | undefined,
): readonly RolloutEffect[] {
  const { now } = event;
  const rollout = track.rollout.id;
  const effects: RolloutEffect[] = [];
  const [reader] = event.readers;
  if (reader !== undefined) {
    const report = makeReport({
      state,
      outbox: track.toReader,
      rollout,
      level: ReportLevel.Node,
      receiver: readerName(reader.id, reader.boot),
      evidence: track.local,
      now,
    });
    if (report && reader.id === state.self) mergeReport(track.domain, report);
    else if (report) effects.push(sendReport(reader.id, report));
  }
  const isPreferred = reader?.id === state.self;
  const collectsReports = isPreferred || track.domain.total.size > 0;
  if (lease === undefined || !collectsReports) return effects;
  const report = makeReport({
    state,
    outbox: track.toHolder,
    rollout,
    level: ReportLevel.Domain,
    receiver: holderName(lease.holder, lease.term),
    evidence: track.domain.total,
    now,
  });
  if (report === undefined) return effects;
  if (lease.holder !== state.self) {
    return [...effects, sendReport(lease.holder, report)];
  }
  if (track.leadership) mergeReport(track.leadership.inbox, report);
  return effects;
}

function sendReport(to: string, report: EvidenceReport): RolloutEffect {
  return { type: "send", to, message: { type: "rollout/evidence", report } };
}
