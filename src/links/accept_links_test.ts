import { once } from "node:events";
import type { AddressInfo } from "node:net";
import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { WebSocket } from "ws";
import { createWorkMeter } from "../metrics/create_work_meter.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import { acceptLinks } from "./accept_links.ts";
import { createPacker } from "./create_packer.ts";
import { PROTOCOL_VERSION } from "./messages.ts";

const REPORT = { running: 0, waiting: 0, meanMs: 0, routeMs: 0 };

/** Accepts links, and collects why they fail and which hellos arrive. */
async function startServer(t: TestContext) {
  const reasons: string[] = [];
  const hellos: (string | undefined)[] = [];
  const links = acceptLinks({
    home: {
      attempt: () => ({
        send() {},
        finish() {},
        limitAnswer() {},
        cancel() {},
      }),
    },
    report: () => REPORT,
    status: () => ({
      report: REPORT,
      operatorEnd: 0,
      readerStatus: ReaderStatus.Idle,
      lagMs: 0,
    }),
    lagMs: () => 0,
    now: () => 0,
    meter: createWorkMeter({ now: () => 0 }),
    canAccept: () => true,
    onGossip: (from) => hellos.push(from),
    isOtherDomain: () => false,
    onCallFault: (_id, err) => assert.fail(String(err)),
    onError: (reason) => reasons.push(reason),
    onClosed() {},
  });
  t.after(() => links.close());
  links.server.listen(0, "127.0.0.1");
  await once(links.server, "listening");
  const { port } = links.server.address() as AddressInfo;
  return { address: `ws://127.0.0.1:${port}`, reasons, hellos };
}

async function sendHello(address: string, protocol: number) {
  const pack = createPacker({ isCompressing: () => false });
  const socket = new WebSocket(address);
  await once(socket, "open");
  const closed = once(socket, "close");
  const row = {
    node: "a:1",
    domain: "d1",
    life: "l",
    startedAt: 0,
    revision: 0,
  };
  socket.send(pack({ type: "hello", protocol, row, isNeighbor: false }));
  return { socket, closed };
}

test("peer that speaks another protocol is refused with a reason", async (t) => {
  const { address, reasons, hellos } = await startServer(t);
  const { closed } = await sendHello(address, PROTOCOL_VERSION - 1);
  await closed;
  const expected = `peer speaks protocol ${PROTOCOL_VERSION - 1}, ` +
    `not ${PROTOCOL_VERSION}`;
  assert.deepEqual(reasons, [expected]);
  assert.deepEqual(hellos, []);
});

test("malformed message closes its link only", async (t) => {
  const { address, reasons, hellos } = await startServer(t);
  const good = await sendHello(address, PROTOCOL_VERSION);
  const bad = new WebSocket(address);
  await once(bad, "open");
  const closed = once(bad, "close");
  bad.send("junk");
  await closed;
  assert.equal(reasons.length, 1);
  assert.equal(good.socket.readyState, WebSocket.OPEN);
  assert.deepEqual(hellos, ["a:1"]);
  good.socket.terminate();
});
