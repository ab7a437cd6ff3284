/**
 * Tracks the endpoint on this VM from the pings and leave messages of its
 * instances. An instance is one run of the endpoint's process.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import {
  isPresent,
  judgeHealth,
  judgePresence,
  judgeTime,
} from "./judge_presence.ts";
import {
  type Instance,
  InstancePhase,
  type InstancePing,
  type LocalEndpointChange,
  type LocalEndpointEvent,
  type LocalEndpointState,
  type Presence,
  type StoppedInstance,
} from "./state.ts";

/**
 * Time without a ping after which an instance that looks older may replace the
 * current one, in milliseconds. A wall clock that was set back makes the next
 * start look older.
 */
const UNRESPONSIVE_AFTER_MS = 10_000;

/**
 * Maximum number of stopped instances whose start times are kept. A VM runs one
 * instance at a time.
 */
const MAX_STOPPED = 64;

/**
 * Applies an event to the endpoint's state. A ping is ignored if a newer ping
 * of its instance, a ping of an instance that started later or the leave
 * message of its instance has arrived before.
 */
export function decideLocalEndpoint(
  state: LocalEndpointState,
  event: LocalEndpointEvent,
): LocalEndpointChange {
  switch (event.type) {
    case "pinged":
      return handlePing(state, event);
    case "left":
      return handleLeave(state, event);
    case "stopped-received":
      return handleStoppedReceived(state, event);
    case "health-answered":
      return event.id === state.current?.id
        ? changePresence(state, judgeHealth(state, event.isDenied, event.now))
        : { type: "none", reason: "the answer is of another instance" };
    case "presence-checked":
      return changePresence(state, judgeTime(state, event.now));
    default:
      return exhausted(event);
  }
}

function handlePing(
  state: LocalEndpointState,
  event: Extract<LocalEndpointEvent, { type: "pinged" }>,
): LocalEndpointChange {
  const { ping, now } = event;
  const { current } = state;
  const reason = findIgnoreReason(state, ping, now);
  if (reason !== undefined) return { type: "none", reason };
  const { coldMs, ...rest } = ping;
  const isSameStart = current?.id === ping.id && current.bornAt === ping.bornAt;
  const wasDraining = isSameStart &&
    current.phase === InstancePhase.Draining;
  const instance: Instance = {
    ...rest,
    phase: wasDraining ? InstancePhase.Draining : ping.phase,
    coldUntil: now + coldMs,
    heardAt: now,
  };
  if (current !== undefined && isReplacedDraining(current, ping)) {
    recordStopped(state, current);
  }
  state.current = instance;
  const wasPresent = isPresent(state);
  const { bornAt } = ping;
  state.presence = judgePresence(state, { isFirst: !isSameStart, bornAt, now });
  if (instance.phase === InstancePhase.Draining) {
    return wasDraining ? { type: "refreshed" } : { type: "draining", instance };
  }
  if (!isSameStart || !hasSameTerms(current, instance)) {
    return { type: "started", instance };
  }
  return isPresent(state) && !wasPresent
    ? { type: "resumed", instance }
    : { type: "refreshed" };
}

/**
 * Whether the ping's start replaces an instance that drains. A late ping would
 * bring that one back if it were forgotten.
 */
function isReplacedDraining(current: Instance, ping: InstancePing): boolean {
  const isOther = current.id !== ping.id || current.bornAt < ping.bornAt;
  return isOther && current.phase === InstancePhase.Draining;
}

function findIgnoreReason(
  state: LocalEndpointState,
  ping: InstancePing,
  now: MonotonicMs,
): string | undefined {
  const { current } = state;
  const leftBornAt = state.left.get(ping.id);
  if (leftBornAt !== undefined && ping.bornAt <= leftBornAt) {
    return "the sender of the ping has left";
  }
  if (current === undefined) return undefined;
  if (
    ping.bornAt < current.bornAt &&
    now - current.heardAt < UNRESPONSIVE_AFTER_MS
  ) {
    return "a later start of the endpoint has sent a ping";
  }
  const isSameStart = current.id === ping.id && current.bornAt === ping.bornAt;
  return isSameStart && ping.seq <= current.seq
    ? "a later ping of this start has arrived"
    : undefined;
}

function hasSameTerms(a: Instance, b: Instance): boolean {
  return a.service === b.service && a.version === b.version &&
    a.slots === b.slots;
}

function handleLeave(
  state: LocalEndpointState,
  event: Extract<LocalEndpointEvent, { type: "left" }>,
): LocalEndpointChange {
  const { id, saidAt } = event;
  const { current } = state;
  // A leave message has no start time, so it ends the latest known start with
  // that id. A node that has just started may receive it before any ping of
  // that start; the time of the message then stands for the start time.
  const bornAt = current?.id === id ? current.bornAt : saidAt;
  recordStopped(state, { id, bornAt });
  if (current?.id === id) state.current = undefined;
  return { type: "left", id };
}

function handleStoppedReceived(
  state: LocalEndpointState,
  { gone, isComplete }: Extract<
    LocalEndpointEvent,
    { type: "stopped-received" }
  >,
): LocalEndpointChange {
  for (const start of gone) recordStopped(state, start);
  if (isComplete) state.isInformed = true;
  const { current } = state;
  const leftBornAt = state.left.get(current?.id ?? "") ?? -Infinity;
  if (current !== undefined && current.bornAt <= leftBornAt) {
    state.current = undefined;
    return { type: "left", id: current.id };
  }
  return changePresence(
    state,
    isComplete ? { type: "proven" } : state.presence,
  );
}

function changePresence(
  state: LocalEndpointState,
  presence: Presence,
): LocalEndpointChange {
  const { current } = state;
  const wasPresent = isPresent(state);
  state.presence = presence;
  if (current === undefined || wasPresent === isPresent(state)) {
    return { type: "none", reason: "the current endpoint is not concerned" };
  }
  return { type: wasPresent ? "overdue" : "resumed", instance: current };
}

function recordStopped(
  { left }: LocalEndpointState,
  { id, bornAt }: StoppedInstance,
) {
  left.set(id, Math.max(bornAt, left.get(id) ?? 0));
  const [oldest] = left.keys();
  if (left.size > MAX_STOPPED && oldest !== undefined) left.delete(oldest);
}
