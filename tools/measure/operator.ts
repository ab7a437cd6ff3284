/**
 * Operator's client of a fleet: publishes lists, reads rollouts and usage.
 * @module
 */
import { callAdmin } from "../../src/adapters/admin_client.ts";
import type { NodeUsage } from "../../src/adapters/node_usage.ts";
import type { EntryChange } from "../../src/config_log/messages.ts";
import type { Rollout, Verdict } from "../../src/config_log/state.ts";
import type { Lists } from "../../src/lists/parse_lists.ts";
import { planEdit, type RevisedLists } from "../../src/lists/plan_edit.ts";
import { FLEET_KEY } from "../fleet/start_fleet.ts";

async function callNode(
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

/** Publishes lists through a node. Returns whether the edit was accepted. */
export async function publish(node: string, asked: Lists): Promise<Verdict> {
  const current = await callNode(node, "GET", "/v1/lists") as RevisedLists;
  return await sendEdit(node, planEdit({ current, requested: asked }));
}

/** Sends the changes of an edit to a node. */
export async function sendEdit(
  node: string,
  changes: readonly EntryChange[],
): Promise<Verdict> {
  const body = { editor: "measure", changes };
  return await callNode(node, "POST", "/v1/edits", body) as Verdict;
}

/** Reads the rollouts from one node. */
export async function readRollouts(node: string): Promise<readonly Rollout[]> {
  const body = await callNode(node, "GET", "/v1/rollouts");
  return (body as { rollouts: readonly Rollout[] }).rollouts;
}

/** Control traffic of a node since its start, to peers and the log. */
export interface Usage {
  readonly sentBytes: number;
  readonly receivedBytes: number;
}

/** Reads the control traffic of a node. */
export async function readUsage(node: string): Promise<Usage> {
  const usage = await callNode(node, "GET", "/v1/usage") as NodeUsage;
  return {
    sentBytes: usage.peers.sentBytes + usage.log.sentBytes,
    receivedBytes: usage.peers.receivedBytes + usage.log.receivedBytes,
  };
}
