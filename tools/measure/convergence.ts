/**
 * Times from an edit to the last node that has it in force.
 * @module
 */
import { ListName } from "../../src/lists/types.ts";
import type { AppliedNote, Fleet, FleetNode } from "../fleet/start_fleet.ts";
import { waitFor } from "../wait_for.ts";
import { sendEdit } from "./operator.ts";

const limitMs = 30_000;

/** Edits one customer `count` times; returns each time in milliseconds. */
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

/** Waits until every node that is up has a version in force. */
export async function waitForVersion(fleet: Fleet, version: number) {
  await waitFor({
    what: `version ${version} is in force on every node`,
    limitMs,
    isTrue: () =>
      fleet.nodes.filter((node) => node.isUp).every((node) =>
        firstNote(fleet.applied, node, version) !== undefined
      ),
  });
}

function lastAppliedAt(fleet: Fleet, version: number): number {
  const times = fleet.nodes.map((node) =>
    firstNote(fleet.applied, node, version)?.at ?? 0
  );
  return Math.max(...times);
}

/** A node may skip versions: a newer one counts as well. */
function firstNote(
  applied: readonly AppliedNote[],
  node: FleetNode,
  version: number,
): AppliedNote | undefined {
  return applied.find((one, index) =>
    index >= node.notesFrom && one.node === node.peer && one.version >= version
  );
}

/** Times at which a node went back to an older version. */
export function countReverts(applied: readonly AppliedNote[]): number {
  const highest = new Map<string, number>();
  let reverts = 0;
  for (const { node, version } of applied) {
    const before = highest.get(node) ?? 0;
    if (version < before) reverts++;
    highest.set(node, Math.max(before, version));
  }
  return reverts;
}
