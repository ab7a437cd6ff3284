/**
 * Spreads records through the failure domain and repairs what was missed.
 * @module
 */
import type { LogRecord } from "../config_log/messages.ts";
import { exhausted } from "../core/exhausted.ts";
import type { NodeId } from "../core/types.ts";
import { pickReaders } from "./pick_readers.ts";
import type {
  DistributionEffect,
  DistributionEvent,
  DistributionState,
} from "./state.ts";

/** Characters of records kept for peers that are a little behind. */
const maxTailLength = 1024 * 1024;

/** Takes one event of distribution in turn. */
export function decideDistribution(
  state: DistributionState,
  event: DistributionEvent,
): readonly DistributionEffect[] {
  switch (event.type) {
    case "ticked":
      return tick(state, event);
    case "read":
      return foldNew(state, event.records);
    case "received":
      return receive(state, event);
    case "folded":
      return noteFolded(state, event);
    default:
      return exhausted(event);
  }
}

function tick(
  state: DistributionState,
  event: Extract<DistributionEvent, { type: "ticked" }>,
): readonly DistributionEffect[] {
  const { members, domain, gateways, random } = event;
  const effects: DistributionEffect[] = [];
  const isReader = pickReaders(members, domain).includes(state.self);
  if (isReader !== state.isReader) {
    state.isReader = isReader;
    effects.push({ type: "follow", isReader });
  }
  const peers = members.filter((id) => id !== state.self);
  // Readers look abroad too, in case their domain has lost the log.
  const candidates = isReader ? [...peers, ...gateways] : peers;
  const peer = candidates[Math.floor(random * candidates.length)];
  if (peer !== undefined) effects.push(sendHead(state, peer));
  return effects;
}

function sendHead(state: DistributionState, to: NodeId): DistributionEffect {
  const { next, digest } = state;
  return {
    type: "send",
    to,
    message: { type: "distribution/head", next, digest },
  };
}

function foldNew(
  state: DistributionState,
  records: readonly LogRecord[],
): readonly DistributionEffect[] {
  const fresh = records.filter((record) => record.offset >= state.next);
  if (fresh[0]?.offset !== state.next) return [];
  return [{ type: "fold", records: fresh }];
}

function receive(
  state: DistributionState,
  event: Extract<DistributionEvent, { type: "received" }>,
): readonly DistributionEffect[] {
  const { message, from } = event;
  switch (message.type) {
    case "distribution/records":
      return takeRecords(state, from, message.records);
    case "distribution/head":
      if (message.next > state.next) return [fetchFrom(state, from)];
      return message.next < state.next ? [sendHead(state, from)] : [];
    case "distribution/fetch":
      return answerFetch(state, from, message.from);
    case "distribution/snapshot":
      return message.snapshot.through >= state.next
        ? [{ type: "load-snapshot", from, snapshot: message.snapshot }]
        : [];
    default:
      return exhausted(message);
  }
}

function takeRecords(
  state: DistributionState,
  from: NodeId,
  records: readonly LogRecord[],
): readonly DistributionEffect[] {
  const first = records[0];
  if (first === undefined) return [];
  return first.offset > state.next
    ? [fetchFrom(state, from)]
    : foldNew(state, records);
}

function fetchFrom(state: DistributionState, to: NodeId): DistributionEffect {
  return {
    type: "send",
    to,
    message: { type: "distribution/fetch", from: state.next },
  };
}

function answerFetch(
  state: DistributionState,
  to: NodeId,
  offset: number,
): readonly DistributionEffect[] {
  if (offset >= state.next) return [];
  const first = state.tail[0]?.offset ?? Infinity;
  if (offset < first) return [{ type: "send-snapshot", to }];
  const records = state.tail.filter((record) => record.offset >= offset);
  return [{
    type: "send",
    to,
    message: { type: "distribution/records", records },
  }];
}

function noteFolded(
  state: DistributionState,
  event: Extract<DistributionEvent, { type: "folded" }>,
): readonly DistributionEffect[] {
  const { records, members } = event;
  state.next = event.next;
  state.digest = event.digest;
  keepTail(state, records);
  if (records.length === 0) return [];
  return members.filter((id) => id !== state.self).map((to) => ({
    type: "send",
    to,
    message: { type: "distribution/records", records },
  }));
}

function keepTail(state: DistributionState, records: readonly LogRecord[]) {
  const last = state.tail.at(-1)?.offset;
  const isContinued = last === undefined || records[0]?.offset === last + 1;
  if (!isContinued) {
    state.tail = [];
    state.tailLength = 0;
  }
  for (const record of records) {
    state.tail.push(record);
    state.tailLength += record.body.length;
  }
  while (state.tailLength > maxTailLength && state.tail.length > 1) {
    state.tailLength -= state.tail.shift()?.body.length ?? 0;
  }
}
