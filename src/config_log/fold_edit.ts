/**
 * Folds an operator's edit of the two lists (`customers` and `uses`): all of
 * its changes are applied, or none.
 * @module
 */
import type { Offset } from "../core/types.ts";
import { keyOfUse, ListName, type UseEntry } from "../lists/types.ts";
import type { EditRecord, EntryChange } from "./messages.ts";
import { accepted, type Outcome, refused } from "./outcome.ts";
import { joinRollout, leaveRollout } from "./rollout_rows.ts";
import { type ConfigState, RefusalCode, type UseRow } from "./state.ts";
import { keyOfVersion } from "../core/key_of_version.ts";

/** Limit on the removals kept, so that a refusal names who removed an entry. */
const MAX_REMOVALS = 1_000;

/** Options of `foldEdit`. */
export interface FoldEditOptions {
  readonly state: ConfigState;
  readonly record: EditRecord;
  readonly offset: Offset;
  /** Wall-clock time of the writer, ISO 8601. */
  readonly at: string;
}

/** Checks every change first, then applies all of them or refuses the edit. */
export function foldEdit(opts: FoldEditOptions): Outcome {
  const refusal = checkChanges(opts) ?? checkPlans(opts);
  if (refusal !== undefined) return refusal;
  for (const change of opts.record.changes) applyChange(opts, change);
  return accepted(true);
}

function checkChanges(opts: FoldEditOptions): Outcome | undefined {
  const seen = new Set<string>();
  for (const change of opts.record.changes) {
    const name = nameOf(change);
    if (seen.has(name) || !hasMatchingKey(change)) {
      return refused(
        RefusalCode.Malformed,
        `entry ${name} stands twice or under a wrong key`,
      );
    }
    seen.add(name);
    const refusal = checkRevision(opts.state, change) ??
      checkWithdrawn(opts.state, change);
    if (refusal !== undefined) return refusal;
  }
  return undefined;
}

function hasMatchingKey(change: EntryChange): boolean {
  if (change.value === null) return true;
  if (change.list === ListName.Customers) {
    return change.key === change.value.customer;
  }
  return change.key === keyOfUse(change.value.plan, change.value.service);
}

function checkRevision(
  state: ConfigState,
  change: EntryChange,
): Outcome | undefined {
  const row = change.list === ListName.Customers
    ? state.customers.get(change.key)
    : state.uses.get(change.key);
  const found = row?.revision ?? 0;
  if (found === change.expected) return undefined;
  const lastChange = row === undefined
    ? describeRemoval(state, change)
    : `${row.editor} changed it at ${found}`;
  return refused(
    RefusalCode.RevisionConflict,
    `entry ${change.list}/${change.key}: expected revision ` +
      `${change.expected}, found ${found}; ${lastChange}`,
  );
}

function describeRemoval(state: ConfigState, change: EntryChange): string {
  const removal = state.removals.get(nameOf(change));
  return removal === undefined
    ? "there is none"
    : `${removal.editor} removed it at ${removal.offset}`;
}

/** Returns the name of an entry, unique over both lists. */
function nameOf(change: EntryChange): string {
  return `${change.list}/${change.key}`;
}

function checkWithdrawn(
  state: ConfigState,
  change: EntryChange,
): Outcome | undefined {
  if (change.list !== ListName.Uses || change.value === null) return undefined;
  const { service, version } = change.value;
  const withdrawn = state.withdrawn.get(keyOfVersion(service, version));
  const isAlreadyRequested = state.uses.get(change.key)?.asked === version;
  if (withdrawn === undefined || isAlreadyRequested) return undefined;
  return refused(
    RefusalCode.VersionWithdrawn,
    `entry uses/${change.key}: ${service}@${version} was taken back at ` +
      `${withdrawn.since}: ${withdrawn.reason}`,
  );
}

/** Checks that every customer's plan still has at least one use entry. */
function checkPlans(opts: FoldEditOptions): Outcome | undefined {
  const { state, record } = opts;
  const usesAfter = new Map<string, number>();
  for (const row of state.uses.values()) addTo(usesAfter, row.plan, 1);
  const emptied = new Set<string>();
  for (const change of record.changes) {
    if (change.list !== ListName.Uses) continue;
    const row = state.uses.get(change.key);
    if (row === undefined && change.value !== null) {
      addTo(usesAfter, change.value.plan, 1);
    }
    if (row !== undefined && change.value === null) {
      addTo(usesAfter, row.plan, -1);
      emptied.add(row.plan);
    }
  }
  return checkAssignedPlans(opts, usesAfter) ??
    checkEmptiedPlans(opts, usesAfter, emptied);
}

function checkAssignedPlans(
  opts: FoldEditOptions,
  usesAfter: ReadonlyMap<string, number>,
): Outcome | undefined {
  for (const change of opts.record.changes) {
    if (change.list !== ListName.Customers || change.value === null) continue;
    if ((usesAfter.get(change.value.plan) ?? 0) > 0) continue;
    return refused(
      RefusalCode.UnknownPlan,
      `entry customers/${change.key}: no use entry names plan ` +
        `${change.value.plan}`,
    );
  }
  return undefined;
}

function checkEmptiedPlans(
  opts: FoldEditOptions,
  usesAfter: ReadonlyMap<string, number>,
  emptied: ReadonlySet<string>,
): Outcome | undefined {
  const empty = [...emptied].filter((plan) => (usesAfter.get(plan) ?? 0) <= 0);
  if (empty.length === 0) return undefined;
  const planAfter = new Map<string, string | undefined>();
  for (const change of opts.record.changes) {
    if (change.list !== ListName.Customers) continue;
    planAfter.set(change.key, change.value?.plan);
  }
  const holders = [...opts.state.customers].filter(([customer, row]) => {
    const plan = planAfter.has(customer)
      ? planAfter.get(customer)
      : row.entry.plan;
    return plan !== undefined && empty.includes(plan);
  }).map(([customer]) => customer);
  // Sorted, because the order of the map differs after a snapshot was loaded,
  // and the reason is part of the state that all nodes must agree on.
  const holder = holders.sort()[0];
  if (holder === undefined) return undefined;
  return refused(
    RefusalCode.PlanInUse,
    `plan ${empty.sort().join(", ")} would have nothing to use, but customer ` +
      `${holder} holds one`,
  );
}

function addTo(counts: Map<string, number>, key: string, amount: number) {
  counts.set(key, (counts.get(key) ?? 0) + amount);
}

function applyChange(opts: FoldEditOptions, change: EntryChange) {
  recordRemoval(opts, change);
  if (change.list === ListName.Uses) {
    applyUse(opts, change.key, change.value);
    return;
  }
  opts.state.customersAt = opts.offset;
  if (change.value === null) {
    opts.state.customers.delete(change.key);
    return;
  }
  opts.state.customers.set(change.key, {
    entry: change.value,
    revision: opts.offset,
    editor: opts.record.editor,
  });
}

function recordRemoval(opts: FoldEditOptions, change: EntryChange) {
  const { removals } = opts.state;
  const name = nameOf(change);
  // Deleting and inserting again keeps the map ordered by age.
  removals.delete(name);
  if (change.value !== null) return;
  removals.set(name, { editor: opts.record.editor, offset: opts.offset });
  for (const oldest of removals.keys()) {
    if (removals.size <= MAX_REMOVALS) return;
    removals.delete(oldest);
  }
}

function applyUse(opts: FoldEditOptions, key: string, value: UseEntry | null) {
  const { state, offset } = opts;
  const before = state.uses.get(key);
  if (before?.rollout !== undefined && before.asked !== value?.version) {
    leaveRollout(state, before.rollout, key, offset, opts.at);
  }
  if (value === null) {
    state.uses.delete(key);
    return;
  }
  const isSameVersion = before?.asked === value.version;
  const row: UseRow = {
    plan: value.plan,
    service: value.service,
    routes: value.routes,
    whenUnjudged: value.whenUnjudged,
    asked: value.version,
    stable: before?.stable ?? chooseInitialStable(state, value),
    ...(value.takeOverBy === undefined ? {} : { takeOverBy: value.takeOverBy }),
    ...(isSameVersion && before?.rollout !== undefined
      ? { rollout: before.rollout }
      : {}),
    revision: offset,
    editor: opts.record.editor,
  };
  state.uses.set(key, row);
  joinRollout({ state, key, offset, at: opts.at });
}

/**
 * Returns the version that serves a new entry first. A version that is not the
 * stable one of any plan is unproven and has to be rolled out, so a proven
 * version of the service serves meanwhile. A new service has none, so its first
 * version serves immediately.
 */
function chooseInitialStable(state: ConfigState, value: UseEntry): string {
  const proven = new Set<string>();
  for (const row of state.uses.values()) {
    if (row.service === value.service) proven.add(row.stable);
  }
  if (proven.size === 0 || proven.has(value.version)) return value.version;
  return [...proven].sort()[0] ?? value.version;
}
