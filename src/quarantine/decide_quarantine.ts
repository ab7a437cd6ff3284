/**
 * Decides which requests may not reach upstreams after a crash.
 *
 * A crash of an endpoint makes every request in flight there a suspect. A
 * suspect runs alone at its endpoint, and at most one run of it is in flight in
 * the failure domain. A complete answer clears the suspect; a second crash
 * quarantines it.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs, NodeId } from "../core/types.ts";
import {
  answerIsolatedRunRequest,
  endIsolatedRun,
  handleIsolatedRunAnswer,
  pursueIsolatedRun,
  requestIsolatedRun,
} from "./decide_isolated_run.ts";
import { levelOf, mergeRow, rowOf } from "./merge_row.ts";
import type { QuarantineMessage, SuspectRow } from "./messages.ts";
import {
  type QuarantineEffect,
  type QuarantineEvent,
  type QuarantineState,
  SuspicionLevel,
} from "./state.ts";

/** Limit on the wait for members to confirm a crash update, in milliseconds. */
export const CRASH_UPDATE_WAIT_MS = 300;

/** Applies one event to the state and returns what to do. */
export function decideQuarantine(
  state: QuarantineState,
  event: QuarantineEvent,
): readonly QuarantineEffect[] {
  const { members } = event;
  switch (event.type) {
    case "received":
      return receive(state, event);
    case "trial-asked":
      return requestIsolatedRun(state, event);
    case "trial-dropped":
      for (const calls of state.endpoints.values()) {
        if (calls.reservedFor === event.trial) calls.reservedFor = "";
      }
      return endIsolatedRun(state, event, members);
    case "ended":
      return handleEnd(state, event);
    case "crashed":
      return handleCrash(state, event);
    case "ticked":
      return tick(state, members, event.now);
    default:
      return exhausted(event);
  }
}

function receive(
  state: QuarantineState,
  event: Extract<QuarantineEvent, { type: "received" }>,
): readonly QuarantineEffect[] {
  const { from, message, now } = event;
  switch (message.type) {
    case "quarantine/rows": {
      const { crash, rows } = message;
      for (const row of rows) mergeRow(state, row, now);
      if (crash === undefined) return [];
      return [send(from, { type: "quarantine/heard", crash })];
    }
    case "quarantine/heard":
      return recordConfirmation(state, message.crash, from);
    case "quarantine/ask":
      return [send(from, answerIsolatedRunRequest(state, message, now))];
    case "quarantine/answer":
      mergeRow(state, message.row, now);
      return handleIsolatedRunAnswer(state, message, from);
    case "quarantine/over": {
      mergeRow(state, message.row, now);
      const { fingerprint, trial } = message;
      const current = state.granted.get(fingerprint);
      if (current?.trial === trial) state.granted.delete(fingerprint);
      return [];
    }
    default:
      return exhausted(message);
  }
}

function recordConfirmation(
  state: QuarantineState,
  crash: string,
  from: NodeId,
): readonly QuarantineEffect[] {
  const update = state.crashUpdates.get(crash);
  if (update === undefined) return [];
  update.unacked.delete(from);
  if (update.unacked.size > 0) return [];
  state.crashUpdates.delete(crash);
  return [{ type: "told", endpoint: update.endpoint }];
}

function handleEnd(
  state: QuarantineState,
  event: Extract<QuarantineEvent, { type: "ended" }>,
): readonly QuarantineEffect[] {
  const { endpoint, call, isWhole, members, now } = event;
  const calls = state.endpoints.get(endpoint);
  const running = calls?.running.get(call);
  if (calls === undefined || running === undefined) return [];
  calls.running.delete(call);
  if (calls.reservedFor === running.trial) calls.reservedFor = "";
  const isIdle = calls.running.size === 0 && calls.reservedFor === "";
  if (isIdle) state.endpoints.delete(endpoint);
  const { fingerprint } = running;
  const effects: QuarantineEffect[] = [];
  if (isWhole && levelOf(state, fingerprint) !== SuspicionLevel.Clear) {
    const row = rowOf(state, fingerprint);
    mergeRow(state, { ...row, excused: row.crashes }, now);
    const rows = [rowOf(state, fingerprint)];
    effects.push(...sendRows(state, rows, members));
  }
  return [...effects, ...endIsolatedRun(state, running, members)];
}

function handleCrash(
  state: QuarantineState,
  event: Extract<QuarantineEvent, { type: "crashed" }>,
): readonly QuarantineEffect[] {
  const { endpoint, members, now } = event;
  const calls = state.endpoints.get(endpoint);
  state.endpoints.delete(endpoint);
  const all = [...calls?.running.values() ?? []];
  const unconfirmed = new Set(members.filter((id) => id !== state.self));
  const id = `${state.boot}/${state.nextId++}`;
  const fingerprints = [...new Set(all.map((one) => one.fingerprint))];
  for (const fingerprint of fingerprints) {
    mergeRow(state, { fingerprint, crashes: [id], excused: [] }, now);
  }
  if (all.length === 0 || unconfirmed.size === 0) {
    const ends = all.flatMap((one) => endIsolatedRun(state, one, members));
    return [...ends, { type: "told", endpoint }];
  }
  const rows = fingerprints.map((one) => rowOf(state, one));
  const endsAt = now + CRASH_UPDATE_WAIT_MS;
  state.crashUpdates.set(id, { endpoint, rows, unacked: unconfirmed, endsAt });
  return [
    ...sendRows(state, rows, members, id),
    ...all.flatMap((one) => endIsolatedRun(state, one, members)),
  ];
}

function tick(
  state: QuarantineState,
  members: readonly NodeId[],
  now: MonotonicMs,
): readonly QuarantineEffect[] {
  expire(state, now);
  const requests = [...state.requested.keys()].flatMap((trial) =>
    pursueIsolatedRun(state, trial, members, now)
  );
  const updates = [...state.crashUpdates].flatMap(
    ([id, one]): QuarantineEffect[] => {
      const { rows, endpoint } = one;
      if (now < one.endsAt) return sendRows(state, rows, [...one.unacked], id);
      state.crashUpdates.delete(id);
      return [{ type: "told", endpoint }];
    },
  );
  return [...requests, ...updates];
}

function sendRows(
  state: QuarantineState,
  rows: readonly SuspectRow[],
  members: readonly NodeId[],
  crash?: string,
): QuarantineEffect[] {
  const message: QuarantineMessage = crash === undefined
    ? { type: "quarantine/rows", rows }
    : { type: "quarantine/rows", rows, crash };
  return members.filter((id) => id !== state.self).map((id) =>
    send(id, message)
  );
}

function expire(state: QuarantineState, now: MonotonicMs) {
  for (const [fingerprint, known] of state.suspects) {
    if (known.expiresAt > now) break;
    state.suspects.delete(fingerprint);
  }
  for (const [fingerprint, one] of state.granted) {
    if (one.endsAt <= now) state.granted.delete(fingerprint);
  }
}

function send(to: NodeId, message: QuarantineMessage): QuarantineEffect {
  return { type: "send", to, message };
}
