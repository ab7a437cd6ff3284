import { test } from "node:test";
import assert from "node:assert/strict";
import { request } from "undici";
import { callAdmin } from "../src/adapters/admin_client.ts";
import { runNode } from "../src/adapters/run_node.ts";
import type { Rollout, Verdict } from "../src/config_log/state.ts";
import { parseLists } from "../src/lists/parse_lists.ts";
import { planEdit, type RevisedLists } from "../src/lists/plan_edit.ts";
import { startFakeLog } from "./fake_log.ts";
import { NO_FAULTS, startFakeUpstream } from "./fake_upstream.ts";
import { freePorts } from "./free_ports.ts";
import { runLoad } from "./load.ts";
import { waitFor } from "./wait_for.ts";

const WAIT_TIMEOUT_MS = 60_000;
const ADMIN_KEY = "test-key";

const listsWithVersion = (version: string) => `
customers:
  - { customer: baker, plan: basic }
uses:
  - plan: basic
    service: portaal
    version: ${version}
    routes:
      - { name: accounts, path: /accounts, methods: [GET], repeatable: true }
`;

async function publish(node: string, text: string): Promise<Verdict> {
  const lists = await callAdmin({
    node,
    key: ADMIN_KEY,
    method: "GET",
    path: "/v1/lists",
  });
  const current = lists._unsafeUnwrap().body as RevisedLists;
  const asked = parseLists({ file: "lists.yaml", text })._unsafeUnwrap();
  const changes = planEdit({ current, requested: asked });
  const reply = await callAdmin({
    node,
    key: ADMIN_KEY,
    method: "POST",
    path: "/v1/edits",
    body: { editor: "tester", changes },
  });
  return reply._unsafeUnwrap().body as Verdict;
}

test("whole path", async (t) => {
  const log = await startFakeLog({
    host: "127.0.0.1",
    port: 0,
    retention: 10_000,
  });
  t.after(() => log.close());
  const ports = await freePorts(9);
  const at = (index: number) => `127.0.0.1:${ports[index]}`;
  const seeds = [at(0), at(3)];
  const nodes = await Promise.all([0, 3, 6].map((base) =>
    runNode({
      domain: base === 6 ? "zone-b" : "zone-a",
      region: "nl-west",
      peerAddr: at(base),
      callAddr: at(base + 1),
      adminAddr: at(base + 2),
      seeds,
      logUrl: log.url,
      keys: [ADMIN_KEY],
    })
  ));
  t.after(() => Promise.all(nodes.map((node) => node.close())));
  const upstreams = await Promise.all(
    ["v1", "v2"].map((version, index) =>
      startFakeUpstream({
        host: "127.0.0.1",
        port: 0,
        service: "portaal",
        version,
        slots: 20,
        connections: 130,
        homes: [at(index * 3 + 2)],
        key: ADMIN_KEY,
        serviceMs: 1,
        faults: NO_FAULTS,
      })
    ),
  );
  t.after(() => Promise.all(upstreams.map((one) => one.close())));

  const first = await publish(at(2), listsWithVersion("v1"));
  assert.equal(first.type, "accepted");
  await waitFor({
    what: "every node serves the lists",
    limitMs: WAIT_TIMEOUT_MS,
    isTrue: () =>
      nodes.every((node) =>
        node.control.serving()?.services.has("basic/portaal") === true
      ),
  });
  const call = (path: string, customer = "baker") =>
    request(`http://${at(7)}${path}`, {
      headers: { "lagoon-customer": customer },
    });
  const served = await call("/portaal/accounts/7");
  assert.equal(served.statusCode, 200);
  const answer = await served.body.json() as { version: string };
  assert.equal(answer.version, "v1");
  const stranger = await call("/portaal/accounts", "stranger");
  assert.equal(stranger.statusCode, 403);
  assert.equal(stranger.headers["lagoon-not-run"], "true");
  await stranger.body.dump();

  const stopped = new AbortController();
  const load = runLoad({
    nodes: [at(1), at(4), at(7)],
    customer: "baker",
    method: "GET",
    path: "/portaal/accounts",
    rate: 200,
    // Fewer than the slots of a cold upstream. Load, nodes and upstreams share
    // one process. After it stalls on a busy machine, a second's calls would be
    // sent at once, and the upstream would rightly shed some of them.
    maxInFlight: 8,
    signal: stopped.signal,
    durationMs: WAIT_TIMEOUT_MS,
  });
  const second = await publish(at(5), listsWithVersion("v2"));
  assert.equal(second.type, "accepted");
  const rolloutOf = (phase: Rollout["phase"]) => () =>
    [...nodes[2]?.control.config().rollouts.values() ?? []].some((one) =>
      one.version === "v2" && one.phase === phase
    );
  await waitFor({
    what: "v2 is done",
    limitMs: WAIT_TIMEOUT_MS,
    isTrue: rolloutOf("done"),
  });
  stopped.abort();
  const report = await load;
  assert.equal(report.failed + report.notRun, 0);
  assert.ok(report.served > 0);

  log.faults.isOut = true;
  const duringOutage = await call("/portaal/accounts");
  assert.equal(duringOutage.statusCode, 200);
  await duringOutage.body.dump();
});
