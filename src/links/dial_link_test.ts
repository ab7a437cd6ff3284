import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { type WebSocket, WebSocketServer } from "ws";
import type { AttemptEvent } from "../calls/state.ts";
import { createWorkMeter, TrafficCause } from "../metrics/create_work_meter.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import { offeredCall } from "../testing/offered_call.ts";
import { createPacker, createUnpacker } from "./create_packer.ts";
import { dialLink, type DialLinkOptions } from "./dial_link.ts";
import { type LinkMessage, PROTOCOL_VERSION } from "./messages.ts";

const REPORT = { running: 0, waiting: 0, meanMs: 0, routeMs: 0 };
const STATUS = {
  report: REPORT,
  operatorEnd: 0,
  readerStatus: ReaderStatus.Idle,
  lagMs: 0,
};

/** A peer that answers nothing by itself. */
async function startSilentPeer(t: TestContext) {
  const server = new WebSocketServer({ port: 0, host: "127.0.0.1" });
  await once(server, "listening");
  t.after(() => server.close());
  const { port } = server.address() as AddressInfo;
  const waiting: ((socket: WebSocket) => void)[] = [];
  const offers: { socket: WebSocket; key: number }[] = [];
  let wake = () => {};
  server.on("connection", (socket) => {
    const unpack = createUnpacker();
    waiting.shift()?.(socket);
    socket.on("message", (data) => {
      const message = unpack(data as Buffer);
      if (message.type === "offer") offers.push({ socket, key: message.key });
      wake();
    });
  });
  return {
    node: `127.0.0.1:${port}`,
    connection: () =>
      new Promise<WebSocket>((resolve) => waiting.push(resolve)),
    async offer(count: number) {
      while (offers.length < count) {
        await new Promise<void>((resolve) => wake = resolve);
      }
      const offer = offers[count - 1];
      assert.ok(offer);
      return offer;
    },
  };
}

function answer(socket: WebSocket, key: number) {
  const pack = createPacker({ isCompressing: () => false });
  const message: LinkMessage = {
    type: "event",
    key,
    event: {
      type: "answered",
      head: { status: 200, headers: [] },
      body: Buffer.from("late"),
    },
    report: REPORT,
    heldMs: 0,
    lagMs: 0,
  };
  socket.send(pack(message));
}

/** Opens a link to a peer. `change` replaces some of the options. */
function openLink(
  t: TestContext,
  node: string,
  change: Partial<DialLinkOptions>,
) {
  const link = dialLink({
    node,
    idleMs: () => 1_000,
    exchangedAt: () => -Infinity,
    lagMs: () => 0,
    now: () => 0,
    random: () => 0,
    meter: createWorkMeter({ now: () => 0 }),
    isOtherDomain: () => false,
    hello: () => ({
      type: "hello",
      protocol: PROTOCOL_VERSION,
      row: { node: "a:1", domain: "d1", life: "l", startedAt: 0, revision: 0 },
      isNeighbor: false,
    }),
    ping: () => ({ type: "ping", ...STATUS }),
    onReport() {},
    onNetworkTime() {},
    onGossip() {},
    onCallFault: (_id, err) => assert.fail(String(err)),
    onOpen() {},
    onClose() {},
    onDialFailed() {},
    ...change,
  });
  t.after(() => link.close());
  return link;
}

test("call at a peer that was silent for a while gets its answer", async (t) => {
  const peer = await startSilentPeer(t);
  let now = 0;
  let opened = () => {};
  const isOpen = () => new Promise<void>((resolve) => opened = resolve);
  const [first, firstOpen] = [peer.connection(), isOpen()];
  const link = openLink(t, peer.node, {
    now: () => now,
    onOpen: () => opened(),
  });
  await firstOpen;
  const events: AttemptEvent["type"][] = [];
  let hasAnswer = () => {};
  const answered = new Promise<void>((resolve) => hasAnswer = resolve);
  link.attempt(offeredCall({}), (event) => {
    events.push(event.type);
    if (event.type === "answered") hasAnswer();
  });
  const offer = await peer.offer(1);
  const [second, secondOpen] = [peer.connection(), isOpen()];
  now = 400;
  link.check();
  now = 1_300;
  link.check();
  assert.ok(!link.isOpen());
  assert.deepEqual(events, ["overdue"]);
  await secondOpen;
  link.attempt(offeredCall({}), () => {});
  const next = await peer.offer(2);
  assert.equal(next.socket, await second);
  const closed = once(await first, "close");
  answer(offer.socket, offer.key);
  await answered;
  assert.deepEqual(events, ["overdue", "answered"]);
  await closed;
});

// An error in the handler of one call closed the link, and with it all calls.
test("error in the handler of one call leaves the link to the others", async (t) => {
  const peer = await startSilentPeer(t);
  let opened = () => {};
  const isOpen = new Promise<void>((resolve) => opened = resolve);
  const faults: string[] = [];
  const link = openLink(t, peer.node, {
    onOpen: () => opened(),
    onCallFault: (id) => faults.push(id),
    onClose: () => assert.fail("the link was closed"),
  });
  await isOpen;
  link.attempt(offeredCall({ id: "r-1" }), () => {
    throw new Error("thrown by a handler");
  });
  const answered = new Promise<AttemptEvent>((resolve) =>
    link.attempt(offeredCall({ id: "r-2" }), resolve)
  );
  for (const count of [1, 2]) {
    const { socket, key } = await peer.offer(count);
    answer(socket, key);
  }
  assert.equal((await answered).type, "answered");
  assert.deepEqual(faults, ["r-1"]);
  assert.ok(link.isOpen());
});

test("bytes to another domain are counted by cause", async (t) => {
  const peer = await startSilentPeer(t);
  let isOtherDomain = true;
  let opened = () => {};
  const isOpen = new Promise<void>((resolve) => opened = resolve);
  const meter = createWorkMeter({ now: () => 0 });
  const link = openLink(t, peer.node, {
    meter,
    isOtherDomain: () => isOtherDomain,
    onOpen: () => opened(),
  });
  await isOpen;
  const bytesOf = (cause: TrafficCause) =>
    meter.totals().otherDomainBytes.get(cause);
  const hello = bytesOf(TrafficCause.Fleet) ?? 0;
  assert.ok(hello > 0);
  link.attempt(offeredCall({}), () => {});
  const calls = bytesOf(TrafficCause.Calls) ?? 0;
  assert.ok(calls > 0);
  assert.equal(bytesOf(TrafficCause.Retries), undefined);
  const retry = link.attempt(offeredCall({ isRetry: true }), () => {});
  const offered = bytesOf(TrafficCause.Retries) ?? 0;
  retry.send(Buffer.alloc(1_000));
  const retries = bytesOf(TrafficCause.Retries) ?? 0;
  assert.ok(offered > 0 && retries > offered + 1_000);
  isOtherDomain = false;
  link.attempt(offeredCall({}), () => {});
  assert.equal(bytesOf(TrafficCause.Calls), calls);
  assert.equal(bytesOf(TrafficCause.Fleet), hello);
});
