import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import type { Allowance } from "../accounts/state.ts";
import { createFleetState } from "../fleet/state.ts";
import { createWorkMeter } from "../metrics/create_work_meter.ts";
import {
  type AllowanceResult,
  createAllowanceService,
} from "./create_allowance_service.ts";

const SELF = "10.0.0.1:1";
const PEER = "10.0.0.2:1";

/** Time after which a node that starts alone has its whole bucket. */
const FULL_MS = 4_000;

/** Starts the service of a node that knows a peer in its failure domain. */
function startService(t: TestContext, allowance: Allowance | undefined) {
  t.mock.timers.enable({ apis: ["setInterval", "setTimeout"] });
  let now = 0;
  const sent: string[] = [];
  const fleet = createFleetState({
    self: SELF,
    domain: "d1",
    life: "own",
    startedAt: 0,
  });
  const service = createAllowanceService({
    self: SELF,
    domain: "d1",
    domainCount: 1,
    terms: { windowMs: 5_000, overage: 0, slack: 0 },
    fleet,
    send: (to, message) => sent.push(`${to} ${message.type}`),
    log: { write: () => {}, close: () => {} },
    metrics: { countQuota: () => {}, countQuotaMessage: () => {} },
    meter: createWorkMeter({ now: () => now }),
    now: () => now,
    wall: () => now,
  });
  t.after(() => service.close());
  const account = { name: "baker", urgency: 1, allowance };
  service.adoptAccounts({ byName: new Map([["baker", account]]) });
  const results: AllowanceResult[] = [];
  return {
    service,
    fleet,
    sent,
    results,
    run(ms: number) {
      for (const end = now + ms; now < end;) {
        now += 10;
        t.mock.timers.tick(10);
      }
    },
    request: () => service.admit("baker", (result) => results.push(result)),
  };
}

test("account without an allowance is admitted without any message", (t) => {
  const node = startService(t, undefined);
  node.fleet.seeds.set(PEER, "d1");
  node.request();
  node.run(FULL_MS);
  assert.deepEqual(node.results.map(({ type }) => type), ["admitted"]);
  assert.deepEqual(node.sent, []);
});

// Requests of the first second after a start were refused.
test("node is ready once requests can get tokens", (t) => {
  const node = startService(t, { perSecond: 100, burst: 100 });
  assert.equal(node.service.isReady(), false);
  node.run(1_350);
  assert.equal(node.service.isReady(), true);
  node.request();
  node.run(100);
  assert.equal(node.results[0]?.type, "admitted");
});

test("node alone admits a burst, then refuses with the wait", (t) => {
  const node = startService(t, { perSecond: 2, burst: 3 });
  node.run(FULL_MS);
  for (let n = 0; n < 4; n++) node.request();
  const types = node.results.map(({ type }) => type);
  assert.deepEqual(types, ["admitted", "admitted", "admitted", "refused"]);
  const refusal = node.results[3];
  assert.ok(refusal?.type === "refused");
  // The tokens of the burst may be given back for 300 ms; the next takes 500.
  assert.ok(refusal.waitMs > 700 && refusal.waitMs <= 800, `${refusal.waitMs}`);
  node.run(Math.ceil(refusal.waitMs / 10) * 10);
  node.request();
  assert.equal(node.results[4]?.type, "admitted");
});

// A request that reached no endpoint would use up the quota of later ones.
test("token that is given back admits the next request", (t) => {
  const node = startService(t, { perSecond: 2, burst: 1 });
  node.run(FULL_MS);
  node.request();
  const [first] = node.results;
  assert.ok(first?.type === "admitted");
  first.giveBack();
  node.request();
  assert.deepEqual(node.results.map(({ type }) => type), [
    "admitted",
    "admitted",
  ]);
});

test("request waits at most 100 ms for an allocator that is silent", (t) => {
  const node = startService(t, { perSecond: 2, burst: 2 });
  const row = { node: PEER, domain: "d1", life: "l", startedAt: 0 };
  node.fleet.rows.set(PEER, {
    row: { ...row, revision: 1 },
    receivedAt: 0,
  });
  node.run(FULL_MS);
  const stamp = 1;
  const beat = { type: "allowance/beat", tier: "node", stamp } as const;
  node.service.receive(PEER, beat);
  node.request();
  node.run(120);
  assert.deepEqual(node.results.map(({ type }) => type), ["refused"]);
  assert.ok(node.sent.includes(`${PEER} allowance/ask`), node.sent.join());
});

test("accounts that lose their allowance are no longer limited", (t) => {
  const node = startService(t, { perSecond: 1, burst: 1 });
  node.request();
  node.service.adoptAccounts(undefined);
  node.request();
  node.run(FULL_MS);
  assert.deepEqual(node.results.map(({ type }) => type).at(-1), "admitted");
  assert.deepEqual(node.sent, []);
});
