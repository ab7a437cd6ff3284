/**
 * Compares the configuration in force with another one.
 * @module
 */
import type { Account, AccountTable } from "../accounts/state.ts";
import type {
  ClientLimits,
  Route,
  RouteTable,
  ServiceTerms,
} from "../routes/state.ts";
import type { Difference, Field, FieldChange } from "./state.ts";

/** An entry of either table, or of both. */
interface Pair<T> {
  readonly name: string;
  readonly from: T | undefined;
  readonly to: T | undefined;
}

/** Returns what differs, with the old and the new values. Contains no key. */
export function compareTables(
  from: RouteTable,
  to: RouteTable,
): readonly Difference[] {
  const limits = compareFields(
    fieldsOfLimits(from.limits),
    fieldsOfLimits(to.limits),
  );
  return [
    ...(from.version === to.version
      ? []
      : [{ type: "version", from: from.version, to: to.version } as const]),
    ...(limits.length === 0
      ? []
      : [{ type: "limits-changed", changes: limits } as const]),
    ...pairsOf(from.hosts, to.hosts).flatMap(compareHosts),
    ...pairsOf(from.services, to.services).flatMap(compareServices),
    ...compareAccounts(from.accounts, to.accounts),
  ];
}

function compareHosts(host: Pair<ReadonlyMap<string, Route>>): Difference[] {
  const pairs = pairsOf(host.from ?? new Map(), host.to ?? new Map());
  return pairs.flatMap(({ name, from, to }): Difference[] => {
    const place = { host: host.name, prefix: name };
    if (from === undefined || to === undefined) {
      const type = from === undefined ? "route-added" : "route-removed";
      const route = from ?? to;
      const fields = route === undefined ? [] : fieldsOfRoute(route);
      return [{ type, ...place, fields }];
    }
    const changes = compareFields(fieldsOfRoute(from), fieldsOfRoute(to));
    return changes.length === 0
      ? []
      : [{ type: "route-changed", ...place, changes }];
  });
}

function compareServices(
  { name, from, to }: Pair<ServiceTerms>,
): Difference[] {
  if (from === undefined || to === undefined) {
    const type = from === undefined ? "service-added" : "service-removed";
    const terms = from ?? to;
    const fields = terms === undefined ? [] : fieldsOfService(terms);
    return [{ type, service: name, fields }];
  }
  const changes = compareFields(fieldsOfService(from), fieldsOfService(to));
  return changes.length === 0
    ? []
    : [{ type: "service-changed", service: name, changes }];
}

function compareAccounts(
  from: AccountTable | undefined,
  to: AccountTable | undefined,
): Difference[] {
  const isRequired = to !== undefined;
  const required: Difference[] = (from !== undefined) === isRequired
    ? []
    : [{ type: "keys-required", isRequired }];
  const added = countKeysNotIn(to, from);
  const removed = countKeysNotIn(from, to);
  const pairs = pairsOf<Account>(
    from?.byName ?? new Map(),
    to?.byName ?? new Map(),
  );
  const accounts = pairs.flatMap((pair) =>
    compareAccount(
      pair,
      added.get(pair.name) ?? 0,
      removed.get(pair.name) ?? 0,
    )
  );
  return [...required, ...accounts];
}

function compareAccount(
  { name: account, from, to }: Pair<Account>,
  addedKeys: number,
  removedKeys: number,
): Difference[] {
  if (from === undefined || to === undefined) {
    const type = from === undefined ? "account-added" : "account-removed";
    const listed = from ?? to;
    const fields = listed === undefined ? [] : fieldsOfAccount(listed);
    return [{ type, account, fields, keys: addedKeys + removedKeys }];
  }
  const changes = compareFields(fieldsOfAccount(from), fieldsOfAccount(to));
  return changes.length + addedKeys + removedKeys === 0
    ? []
    : [{ type: "account-changed", account, changes, addedKeys, removedKeys }];
}

/** Counts, by account name, the keys that the account does not have in `other`. */
function countKeysNotIn(
  table: AccountTable | undefined,
  other: AccountTable | undefined,
): ReadonlyMap<string, number> {
  const counts = new Map<string, number>();
  for (const [key, { account: { name } }] of table?.byKey ?? []) {
    if (other?.byKey.get(key)?.account.name === name) continue;
    counts.set(name, (counts.get(name) ?? 0) + 1);
  }
  return counts;
}

/** Pairs the entries by name: first those of `from`, then the added ones. */
function pairsOf<T>(
  from: ReadonlyMap<string, T>,
  to: ReadonlyMap<string, T>,
): Pair<T>[] {
  const names = new Set([...from.keys(), ...to.keys()]);
  return [...names].map((name) => ({
    name,
    from: from.get(name),
    to: to.get(name),
  }));
}

/** Compares lists that have the same fields in the same order. */
function compareFields(
  from: readonly Field[],
  to: readonly Field[],
): FieldChange[] {
  return from.flatMap(({ name, value }, index) => {
    const next = to[index]?.value ?? value;
    return next === value ? [] : [{ field: name, from: value, to: next }];
  });
}

function fieldsOfRoute(route: Route): Field[] {
  return [
    { name: "name", value: route.name },
    { name: "services", value: describeParts(route) },
    { name: "repeatable", value: describeFlag(route.isIdempotent) },
    { name: "timeout", value: `${route.timeoutMs} ms` },
    { name: "objective", value: `${route.objectiveMs} ms` },
    { name: "attempts", value: `${route.maxAttempts}` },
    { name: "urgency", value: `${route.urgency}` },
    { name: "anonymous", value: describeFlag(route.isAnonymous === true) },
  ];
}

function describeParts({ parts }: Route): string {
  const [only] = parts;
  if (only !== undefined && parts.length === 1) return only.service;
  return parts.map((part) => `${part.service} ${part.weight}`).join(", ");
}

function describeFlag(isOn: boolean): string {
  return isOn ? "yes" : "no";
}

function fieldsOfService(terms: ServiceTerms): Field[] {
  const { coldPerSecond = 0 } = terms;
  const cold = coldPerSecond === 0 ? "no limit" : `${coldPerSecond} per second`;
  return [
    { name: "connections", value: `${terms.maxConnections}` },
    { name: "health path", value: terms.healthCheckPath },
    { name: "while cold", value: cold },
  ];
}

function fieldsOfAccount({ urgency, allowance }: Account): Field[] {
  const rate = allowance === undefined
    ? "no limit"
    : `${allowance.perSecond} per second, burst ${allowance.burst}`;
  return [
    { name: "urgency", value: `${urgency}` },
    { name: "rate", value: rate },
  ];
}

function fieldsOfLimits(limits: ClientLimits): Field[] {
  return [
    { name: "header size", value: `${limits.headerBytes} B` },
    { name: "body size", value: `${limits.bodyBytes} B` },
    { name: "header time", value: `${limits.headerMs} ms` },
    { name: "idle time", value: `${limits.idleMs} ms` },
  ];
}
