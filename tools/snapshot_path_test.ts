import { test } from "node:test";
import assert from "node:assert/strict";
import { callAdmin } from "../src/adapters/admin_client.ts";
import { type RunningNode, runNode } from "../src/adapters/run_node.ts";
import { type FakeLog, startFakeLog } from "./fake_log.ts";
import { freePorts } from "./free_ports.ts";
import { waitFor } from "./wait_for.ts";

const WAIT_TIMEOUT_MS = 60_000;
const RETENTION_RECORDS = 60;

/** Starts a node without peers, which reads its configuration from the log. */
async function startIsolatedNode(
  log: FakeLog,
  domain: string,
): Promise<{ node: RunningNode; admin: string }> {
  const [peer, call, admin] = await freePorts(3);
  const at = (port: number | undefined) => `127.0.0.1:${port}`;
  const node = await runNode({
    domain,
    region: "nl-west",
    peerAddr: at(peer),
    callAddr: at(call),
    adminAddr: at(admin),
    seeds: [],
    logUrl: log.url,
    keys: [],
    snapshots: { everyRecords: 20, everyMs: 3_600_000 },
  });
  return { node, admin: at(admin) };
}

async function edit(admin: string, key: string) {
  const route = { name: "all", path: "/", methods: ["GET"] };
  const value = { plan: key, service: "s", version: "v1", routes: [route] };
  const changes = [{ list: "uses", key: `${key}/s`, expected: 0, value }];
  const reply = await callAdmin({
    node: admin,
    method: "POST",
    path: "/v1/edits",
    body: { editor: "tester", changes },
  });
  assert.equal(reply._unsafeUnwrap().status, 200);
}

test("new node loads the snapshot from the log", async (t) => {
  const log = await startFakeLog({
    host: "127.0.0.1",
    port: 0,
    retention: RETENTION_RECORDS,
  });
  t.after(() => log.close());
  const first = await startIsolatedNode(log, "zone-a");
  t.after(() => first.node.close());
  const state = () => first.node.control.config();
  for (let at = 0; at < 25; at++) await edit(first.admin, `plan-${at}`);
  await waitFor({
    what: "a complete snapshot is in the log",
    limitMs: WAIT_TIMEOUT_MS,
    isTrue: () => state().snapshotThrough > 0,
  });
  // The log drops its oldest records but keeps those after the snapshot.
  for (let at = 25; at < 62; at++) await edit(first.admin, `plan-${at}`);
  log.faults.losesReplies = true;
  await edit(first.admin, "plan-of-a-lost-reply");
  log.faults.losesReplies = false;
  const second = await startIsolatedNode(log, "zone-b");
  t.after(() => second.node.close());
  await waitFor({
    what: "both nodes hold the same state",
    limitMs: WAIT_TIMEOUT_MS,
    isTrue: () => second.node.control.config().digest === state().digest,
  });
  assert.equal(second.node.control.config().uses.size, 63);
});
