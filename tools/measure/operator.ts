/**
 * Acts as an operator against a fleet: publishes lists, reads what became.
 * @module
 */
import { callAdmin } from "../../src/adapters/admin_client.ts";
import type { NodeUsage } from "../../src/adapters/node_usage.ts";
import type { EntryChange } from "../../src/config_log/messages.ts";
import type { Rollout, Verdict } from "../../src/config_log/state.ts";
import type { Lists } from "../../src/lists/parse_lists.ts";
import { planEdit, type RevisedLists } from "../../src/lists/plan_edit.ts";
import { FLEET_KEY } from "../fleet/start_fleet.ts";

async function ask(
  node: string,
  method: "GET" | "POST",
  path: string,
  body?: unknown,
): Promise<unknown> {
  const reply = await callAdmin({
    node,
    key: FLEET_KEY,
    method,
    path,
    ...(body === undefined ? {} : { body }),
  });
  if (reply.isErr()) throw new Error(reply.error.message);
  return reply.value.body;
}

/** Publishes lists through a node, and returns the verdict. */
export async function publish(node: string, asked: Lists): Promise<Verdict> {
  const current = await ask(node, "GET", "/v1/lists") as RevisedLists;
  return await sendEdit(node, planEdit({ current, asked }));
}

/** Sends an edit's changes to a node. */
export async function sendEdit(
  node: string,
  changes: readonly EntryChange[],
): Promise<Verdict> {
  const body = { editor: "measure", changes };
  return await ask(node, "POST", "/v1/edits", body) as Verdict;
}

/** Rollouts on record, as one node knows them. */
export async function readRollouts(node: string): Promise<readonly Rollout[]> {
  const body = await ask(node, "GET", "/v1/rollouts");
  return (body as { rollouts: readonly Rollout[] }).rollouts;
}

/** Bytes that a node has spent on control since its start. */
export interface Usage {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Reads what a node has spent on control. */
export async function readUsage(node: string): Promise<Usage> {
  const usage = await ask(node, "GET", "/v1/usage") as NodeUsage;
  return {
    sentBytes: usage.peers.sentBytes + usage.log.sentBytes,
    receivedBytes: usage.peers.receivedBytes + usage.log.receivedBytes,
  };
}
