import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { request } from "undici";
import { callAdmin } from "../src/adapters/admin_client.ts";
import { runNode } from "../src/adapters/run_node.ts";
import { parseLists } from "../src/lists/parse_lists.ts";
import { planEdit, type RevisedLists } from "../src/lists/plan_edit.ts";
import { startFakeLog } from "./fake_log.ts";
import { NO_FAULTS, startFakeUpstream } from "./fake_upstream.ts";
import { freePorts } from "./free_ports.ts";
import { waitFor } from "./wait_for.ts";

const WAIT_TIMEOUT_MS = 30_000;
const ADMIN_KEY = "test-key";
const LISTS = `
customers:
  - { customer: baker, plan: basic }
uses:
  - plan: basic
    service: portaal
    version: v1
    routes:
      - { name: pay, path: /pay, methods: [POST], repeatable: false }
      - { name: look, path: /look, methods: [GET], repeatable: false }
`;

async function publish(node: string) {
  const at = { node, key: ADMIN_KEY } as const;
  const shown = await callAdmin({ ...at, method: "GET", path: "/v1/lists" });
  const current = shown._unsafeUnwrap().body as RevisedLists;
  const asked = parseLists({ file: "l", text: LISTS })._unsafeUnwrap();
  const body = {
    editor: "tester",
    changes: planEdit({ current, requested: asked }),
  };
  await callAdmin({ ...at, method: "POST", path: "/v1/edits", body });
}

/**
 * Starts two nodes of one failure domain, each the home node (the node on the
 * same VM) of one upstream.
 */
async function startTwoNodes(t: TestContext) {
  const host = "127.0.0.1";
  const log = await startFakeLog({ host, port: 0, retention: 10_000 });
  t.after(() => log.close());
  const ports = await freePorts(6);
  const at = (index: number) => `${host}:${ports[index]}`;
  const nodes = await Promise.all([0, 3].map((base) =>
    runNode({
      domain: "zone-a",
      region: "nl-west",
      peerAddr: at(base),
      callAddr: at(base + 1),
      adminAddr: at(base + 2),
      seeds: [at(0), at(3)],
      logUrl: log.url,
      keys: [ADMIN_KEY],
    })
  ));
  t.after(() => Promise.all(nodes.map((node) => node.close())));
  const upstreams = await Promise.all([2, 5].map((admin) =>
    startFakeUpstream({
      host,
      port: 0,
      service: "portaal",
      version: "v1",
      slots: 20,
      connections: 130,
      homes: [at(admin)],
      key: ADMIN_KEY,
      serviceMs: 1,
      faults: NO_FAULTS,
    })
  ));
  t.after(() => Promise.all(upstreams.map((one) => one.close())));
  await publish(at(2));
  await waitFor({
    what: "every node serves the lists",
    limitMs: WAIT_TIMEOUT_MS,
    isTrue: () =>
      nodes.every((node) =>
        node.control.serving()?.services.has("basic/portaal") === true &&
        node.control.membership.members.size === 2
      ),
  });
  const call = async (
    node: number,
    path: string,
    pay?: { key: string; body: string },
  ) => {
    const res = await request(`http://${at(node * 3 + 1)}/portaal${path}`, {
      method: pay === undefined ? "GET" : "POST",
      headers: {
        "lagoon-customer": "baker",
        ...(pay === undefined ? {} : { "idempotency-key": pay.key }),
      },
      body: pay?.body ?? null,
    });
    const text = await res.body.text();
    return { status: res.statusCode, headers: res.headers, text };
  };
  return { log, nodes, upstreams, call };
}

test("call with idempotency key runs once", async (t) => {
  const { log, upstreams, call } = await startTwoNodes(t);
  const pay = { key: "invoice-7", body: "ten" };
  const ready = { key: "ready", body: "" };
  for (;;) {
    const probe = await call(0, "/pay", ready);
    if (probe.status === 200) break;
    assert.equal(probe.headers["lagoon-not-run"], "true");
  }
  const answers = await Promise.all(
    [0, 1].map((node) => call(node, "/pay", pay)),
  );
  const again = await call(1, "/pay", pay);
  const runs = upstreams.flatMap((one) => one.keysRun)
    .filter((one) => one === pay.key);
  assert.equal(runs.length, 1);
  assert.deepEqual([...answers, again].map((one) => one.status), [
    200,
    200,
    200,
  ]);
  assert.equal(answers[0]?.text, again.text);
  assert.equal(answers[1]?.text, again.text);
  assert.equal(again.headers["lagoon-replayed"], "true");
  const other = await call(0, "/pay", { ...pay, body: "twenty" });
  assert.equal(other.status, 422);
  log.faults.isOut = true;
  const duringOutage = await call(0, "/pay", { key: "invoice-8", body: "" });
  assert.equal(duringOutage.headers["lagoon-not-run"], "true");
  assert.equal(upstreams.flatMap((one) => one.keysRun).length, 2);
});

test("shutdown waits until outcomes are recorded", async (t) => {
  const { log, nodes, call } = await startTwoNodes(t);
  const ready = { key: "ready", body: "" };
  for (;;) {
    const probe = await call(0, "/pay", ready);
    if (probe.status === 200) break;
    assert.equal(probe.headers["lagoon-not-run"], "true");
  }
  // Appends take longer than the grace period of a shutdown, so the outcome is
  // recorded only if the node waits for it.
  log.faults.delayMs = 600;
  const pay = { key: "invoice-9", body: "ten" };
  const first = await call(0, "/pay", pay);
  await nodes[0]?.close();
  const again = await call(1, "/pay", pay);
  assert.deepEqual([first.status, again.status], [200, 200]);
  assert.equal(again.text, first.text);
});

test("second close returns the first close", async (t) => {
  const { nodes: [node] } = await startTwoNodes(t);
  assert.ok(node !== undefined);
  const closing = node.close();
  assert.equal(node.close(), closing);
  await closing;
});

test("request that crashed two upstreams is quarantined", async (t) => {
  const { upstreams, call } = await startTwoNodes(t);
  for (const one of upstreams) {
    Object.assign(one.faults, { hangShare: 1, path: "/look/crash" });
  }
  for (let round = 0; round < 2; round++) {
    const sent = call(round, "/look/crash");
    await waitFor({
      what: "an upstream runs the request",
      limitMs: WAIT_TIMEOUT_MS,
      isTrue: () => upstreams.some((one) => one.totals.running > 0),
    });
    await upstreams.find((one) => one.totals.running > 0)?.close();
    assert.equal((await sent).status, 502);
  }
  const third = await call(0, "/look/crash");
  assert.equal(third.headers["lagoon-reason"], "LAGOON_CALL_QUARANTINED");
  assert.equal(third.headers["lagoon-not-run"], "true");
});
