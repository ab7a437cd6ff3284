/**
 * Orders the pings of endpoints that start, drain and leave beside a node.
 * @module
 */
import { exhausted } from "../core/exhausted.ts";
import type { MonotonicMs } from "../core/types.ts";
import {
  type Instance,
  InstancePhase,
  type InstancePing,
  type LocalEndpointChange,
  type LocalEndpointEvent,
  type LocalEndpointState,
  type StoppedInstance,
} from "./state.ts";

/**
 * Silence after which an endpoint doesn't keep others away any more, in
 * milliseconds. A time of day that was set back makes the next start look older.
 */
const goneMs = 10_000;

/** Endpoints remembered after they left. A VM runs one at a time. */
const maxLeft = 64;

/**
 * Takes a ping or a leave. A ping that was delayed past a newer one, past a
 * newer start, or past the leave of its sender changes nothing.
 */
export function decideLocalEndpoint(
  state: LocalEndpointState,
  event: LocalEndpointEvent,
): LocalEndpointChange {
  switch (event.type) {
    case "pinged":
      return takePing(state, event);
    case "left":
      return takeLeave(state, event);
    case "recalled":
      return recall(state, event.gone);
    default:
      return exhausted(event);
  }
}

function takePing(
  state: LocalEndpointState,
  event: Extract<LocalEndpointEvent, { type: "pinged" }>,
): LocalEndpointChange {
  const { ping, now } = event;
  const { current } = state;
  const reason = whyIgnored(state, ping, now);
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
  state.current = instance;
  if (instance.phase === InstancePhase.Draining) {
    return wasDraining ? { type: "heard" } : { type: "draining", instance };
  }
  return isSameStart && isAlike(current, instance)
    ? { type: "heard" }
    : { type: "started", instance };
}

function whyIgnored(
  state: LocalEndpointState,
  ping: InstancePing,
  now: MonotonicMs,
): string | undefined {
  const { current } = state;
  const leftBornAt = state.left.get(ping.id);
  if (leftBornAt !== undefined && ping.bornAt <= leftBornAt) {
    return "its sender has left";
  }
  if (current === undefined) return undefined;
  if (ping.bornAt < current.bornAt && now - current.heardAt < goneMs) {
    return "a later start has pinged";
  }
  const isSameStart = current.id === ping.id && current.bornAt === ping.bornAt;
  return isSameStart && ping.seq <= current.seq
    ? "a later ping has arrived"
    : undefined;
}

function isAlike(a: Instance, b: Instance): boolean {
  return a.service === b.service && a.version === b.version &&
    a.slots === b.slots;
}

function takeLeave(
  state: LocalEndpointState,
  event: Extract<LocalEndpointEvent, { type: "left" }>,
): LocalEndpointChange {
  const { id, saidAt } = event;
  const { current } = state;
  // A leave names no start, so it ends the latest one known under that id. A
  // node that has just started may hear it before any ping of that start.
  const bornAt = current?.id === id ? current.bornAt : saidAt;
  remember(state, { id, bornAt });
  if (current?.id !== id) {
    return { type: "none", reason: "another endpoint runs here" };
  }
  state.current = undefined;
  return { type: "left", id };
}

function recall(
  state: LocalEndpointState,
  gone: readonly StoppedInstance[],
): LocalEndpointChange {
  for (const start of gone) remember(state, start);
  const { current } = state;
  const leftBornAt = state.left.get(current?.id ?? "") ?? -Infinity;
  if (current === undefined || current.bornAt > leftBornAt) {
    return { type: "none", reason: "another endpoint runs here" };
  }
  state.current = undefined;
  return { type: "left", id: current.id };
}

function remember(
  { left }: LocalEndpointState,
  { id, bornAt }: StoppedInstance,
) {
  left.set(id, Math.max(bornAt, left.get(id) ?? 0));
  const [oldest] = left.keys();
  if (left.size > maxLeft && oldest !== undefined) left.delete(oldest);
}
