import { test } from "node:test";
import assert from "node:assert/strict";
import { callAdmin } from "../src/adapters/admin_client.ts";
import { type RunningNode, runNode } from "../src/adapters/run_node.ts";
import { type FakeLog, startFakeLog } from "./fake_log.ts";
import { freePorts } from "./free_ports.ts";
import { waitFor } from "./wait_for.ts";

const limitMs = 60_000;
const retention = 60;

/** A node that no other node knows: only the log can help it. */
async function startAlone(
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

test("newcomer starts from the log's snapshot", async (t) => {
  const log = await startFakeLog({ host: "127.0.0.1", port: 0, retention });
  t.after(() => log.close());
  const first = await startAlone(log, "zone-a");
  t.after(() => first.node.close());
  const state = () => first.node.control.config();
  for (let at = 0; at < 25; at++) await edit(first.admin, `plan-${at}`);
  await waitFor({
    what: "a snapshot is whole in the log",
    limitMs,
    isTrue: () => state().snapshotThrough > 0,
  });
  // The log forgets its first records, but not the snapshot's tail.
  for (let at = 25; at < 62; at++) await edit(first.admin, `plan-${at}`);
  log.faults.losesReplies = true;
  await edit(first.admin, "plan-of-a-lost-reply");
  log.faults.losesReplies = false;
  const second = await startAlone(log, "zone-b");
  t.after(() => second.node.close());
  await waitFor({
    what: "both nodes hold the same state",
    limitMs,
    isTrue: () => second.node.control.config().digest === state().digest,
  });
  assert.equal(second.node.control.config().uses.size, 63);
});
