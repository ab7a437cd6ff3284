/**
 * Measures the time from an edit until the last node has applied it.
 * @module
 */
import { ListName } from "../../src/lists/types.ts";
import type { AppliedVersion, Fleet, FleetNode } from "../fleet/start_fleet.ts";
import { waitFor } from "../wait_for.ts";
import { sendEdit } from "./operator.ts";

const APPLY_TIMEOUT_MS = 30_000;

/** Edits one customer `count` times. Returns the convergence times in ms. */
export async function measureConvergence(
  fleet: Fleet,
  count: number,
): Promise<number[]> {
  const times: number[] = [];
  let expected = 0;
  for (let index = 0; index < count; index++) {
    const node = fleet.nodes[index % fleet.nodes.length];
    if (node === undefined) break;
    const sentAt = Date.now();
    const customer = "edited";
    const plan = index % 2 === 0 ? "basic" : "gold";
    const verdict = await sendEdit(node.admin, [{
      list: ListName.Customers,
      key: customer,
      expected,
      value: { customer, plan },
    }]);
    if (verdict.type !== "accepted") throw new Error(JSON.stringify(verdict));
    expected = verdict.offset;
    await waitForVersion(fleet, verdict.offset);
    times.push(lastAppliedAt(fleet, verdict.offset) - sentAt);
  }
  return times;
}

/** Waits until every node that is up has applied a version or a newer one. */
export async function waitForVersion(fleet: Fleet, version: number) {
  await waitFor({
    what: `every node has applied version ${version}`,
    limitMs: APPLY_TIMEOUT_MS,
    isTrue: () =>
      fleet.nodes.filter((node) => node.isUp).every((node) =>
        findApplied(fleet.applied, node, version) !== undefined
      ),
  });
}

function lastAppliedAt(fleet: Fleet, version: number): number {
  const times = fleet.nodes.map((node) =>
    findApplied(fleet.applied, node, version)?.at ?? 0
  );
  return Math.max(...times);
}

/** Finds when a node applied a version, or a newer one if it skipped that. */
function findApplied(
  applied: readonly AppliedVersion[],
  node: FleetNode,
  version: number,
): AppliedVersion | undefined {
  return applied.find((one, index) =>
    index >= node.appliedFrom && one.node === node.peer &&
    one.version >= version
  );
}

/** Counts how often a node applied an older version after a newer one. */
export function countReverts(applied: readonly AppliedVersion[]): number {
  const highest = new Map<string, number>();
  let reverts = 0;
  for (const { node, version } of applied) {
    const before = highest.get(node) ?? 0;
    if (version < before) reverts++;
    highest.set(node, Math.max(before, version));
  }
  return reverts;
}
