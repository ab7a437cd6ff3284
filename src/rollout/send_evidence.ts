/**
 * Tells evidence to the domain's reader, and its sum to the lease's holder.
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

/** Name under which a start of a reader takes reports. */
export function readerName(id: string, boot: string): string {
  return `${id}/${boot}`;
}

/** Name under which a holder takes reports. */
export function holderName(id: string, term: number): string {
  return `${id}#${term}`;
}

/** Sends the reports that are due. What concerns this node is merged here. */
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
  const gathers = isPreferred || track.domain.total.size > 0;
  if (lease === undefined || !gathers) return effects;
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
