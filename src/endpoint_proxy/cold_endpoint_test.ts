import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { createServer, type ServerResponse } from "node:http";
import type { AddressInfo } from "node:net";
import type { AttemptEvent } from "../calls/state.ts";
import { ANNOUNCED_INSTANCE } from "../testing/announced_instance.ts";
import { createTestHome } from "../testing/create_test_home.ts";
import { offeredCall } from "../testing/offered_call.ts";
import type { LocalHome } from "./create_home.ts";

/** Starts an endpoint whose health answers a test writes. */
async function startColdHome(
  t: TestContext,
  answerHealth: (res: ServerResponse) => void,
) {
  let healthRequests = 0;
  const answered: (() => void)[] = [];
  const server = createServer((req, res) => {
    if (req.url === "/health") {
      healthRequests++;
      answerHealth(res);
      return answered.shift()?.();
    }
    res.setHeader("call-id", String(req.headers["call-id"]));
    res.end("ran");
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  t.after(() => {
    server.closeAllConnections();
    server.close();
  });
  const { port } = server.address() as AddressInfo;
  const clock = { now: 10_000 };
  const home = createTestHome(t, {
    address: `127.0.0.1:${port}`,
    now: () => clock.now,
  });
  clock.now += 1_000;
  home.setTerms({
    maxConnections: 10,
    healthCheckPath: "/health",
    coldPerSecond: 2,
  });
  home.setInstance({ ...ANNOUNCED_INSTANCE, heardAt: clock.now }, "");
  clock.now += 1_000;
  return {
    home,
    clock,
    server,
    port,
    healthRequests: () => healthRequests,
    nextHealth: () => new Promise<void>((resolve) => answered.push(resolve)),
  };
}

/** Waits until the home node has read the health answer. */
async function waitForStarts(home: LocalHome, wanted: number | undefined) {
  for (let turn = 0; home.report().startsLeft !== wanted; turn++) {
    assert.ok(turn < 2_000, `starts left: ${home.report().startsLeft}`);
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
}

function attemptCall(home: LocalHome): Promise<AttemptEvent> {
  return new Promise((resolve) => {
    home.attempt(offeredCall(), (event) => {
      if (event.type !== "admitted") resolve(event);
    });
  });
}

test("evacuated home refuses calls and requests no health", async (t) => {
  const { home, healthRequests } = await startColdHome(t, () => {});
  home.setEvacuated(true);
  const event = await attemptCall(home);
  assert.equal(event.type === "refused" && event.refusal.reason, "closed");
  home.setInstance({ ...ANNOUNCED_INSTANCE, bornAt: 1 }, "");
  assert.equal((await attemptCall(home)).type, "refused");
  assert.equal(healthRequests(), 0);
});

// Guards against an upload to a home node that can't run its call any more.
test("evacuation refuses a call whose body is being received", async (t) => {
  const { home } = await startColdHome(t, () => {});
  const upload = { method: "POST", body: undefined, bodyBytes: 6 };
  const event = await new Promise<AttemptEvent>((resolve) => {
    const attempt = home.attempt(offeredCall(upload), (event) => {
      if (event.type !== "admitted") return resolve(event);
      attempt.send(Buffer.from("pho"));
      home.setEvacuated(true);
      attempt.send(Buffer.from("to!"));
    });
  });
  assert.equal(event.type === "refused" && event.refusal.reason, "closed");
  assert.equal(home.isBusy(), false);
});

test("end of an evacuation requests the health path once", async (t) => {
  const { home, nextHealth, healthRequests } = await startColdHome(
    t,
    (res) => res.writeHead(200, { "cold-ms": "0" }).end(),
  );
  home.setEvacuated(true);
  const answered = nextHealth();
  home.setEvacuated(false);
  // The health request counts as one of the two.
  assert.equal(home.report().startsLeft, 1);
  await answered;
  await waitForStarts(home, undefined);
  assert.equal(healthRequests(), 1);
});

// Guards against a limit that ends because an endpoint says nothing.
test("starts stay limited after a useless health answer until a ping", async (t) => {
  const { home, clock, nextHealth } = await startColdHome(
    t,
    (res) => res.writeHead(500).end(),
  );
  const answered = nextHealth();
  home.invalidateColdTime("the node was cut off");
  await answered;
  clock.now += 1_000;
  assert.equal(home.report().startsLeft, 2);
  home.recordPing({ coldUntil: clock.now + 500, heardAt: clock.now });
  assert.equal(home.report().startsLeft, 2);
  clock.now += 500;
  assert.equal(home.report().startsLeft, undefined);
});

// Guards against full load on an endpoint that comes back from a crash cold.
test("endpoint that crashed is taken for cold when it is back", async (t) => {
  const { home, clock, server, port, healthRequests } = await startColdHome(
    t,
    (res) => res.writeHead(200, { "cold-ms": "90000" }).end(),
  );
  assert.equal((await attemptCall(home)).type, "answered");
  assert.equal(home.report().startsLeft, undefined);
  server.closeAllConnections();
  await new Promise((resolve) => server.close(resolve));
  // A connection may still be open, so that a first call is cut.
  while ((await attemptCall(home)).type !== "refused");
  assert.notEqual(home.report().startsLeft, undefined);
  server.listen(port, "127.0.0.1");
  for (let turn = 0; healthRequests() === 0; turn++) {
    assert.ok(turn < 1_000, "no health request");
    clock.now += 1_000;
    await attemptCall(home);
    await new Promise((resolve) => setTimeout(resolve, 20));
  }
  clock.now += 1_000;
  home.recordPing({ coldUntil: clock.now + 500, heardAt: clock.now });
  assert.equal(home.report().startsLeft, 2);
});

test("endpoint is asked whether it leaves", async (t) => {
  let answer = (res: ServerResponse) => void res.writeHead(200).end();
  const { home } = await startColdHome(t, (res) => answer(res));
  assert.equal(await home.askWhetherLeaving(), false);
  answer = (res) => void res.writeHead(503).end();
  assert.equal(await home.askWhetherLeaving(), true);
  // It is full, which says nothing of whether it leaves.
  answer = (res) => void res.writeHead(503, { "not-run": "1" }).end();
  assert.equal(await home.askWhetherLeaving(), undefined);
  answer = (res) => void res.destroy();
  assert.equal(await home.askWhetherLeaving(), undefined);
});
