import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { Packr } from "msgpackr";
import { WebSocket } from "ws";
import type { NodeInfo } from "../core/types.ts";
import { createPeerLinks, type PeerLinks } from "./peer_links.ts";
import type { PeerMessage } from "./peer_message.ts";

const packr = new Packr({ useRecords: false });
const hello = {
  "lagoon-node": "127.0.0.1:9",
  "lagoon-domain": "zone-a",
  "lagoon-region": "r",
  "lagoon-boot": "b",
  "lagoon-protocol": "1",
  authorization: "Bearer key-b",
};

interface OpenedLinks {
  readonly links: PeerLinks;
  readonly url: string;
  readonly received: PeerMessage[];
}

async function openLinks(
  t: TestContext,
  checkPeer: (info: NodeInfo) => string | undefined = () => undefined,
): Promise<OpenedLinks> {
  const server = createServer();
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const id = `127.0.0.1:${port}`;
  const received: PeerMessage[] = [];
  const links = createPeerLinks({
    self: { id, domain: "zone-a", region: "r", boot: "a" },
    server,
    keys: ["key-a", "key-b"],
    onMessage: (_from, message) => received.push(message),
    checkPeer,
  });
  t.after(() => {
    links.close();
    server.close();
    server.closeAllConnections();
  });
  return { links, url: `ws://${id}/peer`, received };
}

/**
 * Resolves with the HTTP status of a refusal, the close code, or 0 if the link
 * opens and stays open after the sent messages were received.
 */
function outcomeOf(socket: WebSocket): Promise<number> {
  return new Promise((resolve) => {
    socket.on("error", () => {});
    socket.on("unexpected-response", (_req, res) => {
      resolve(res.statusCode ?? 0);
      socket.terminate();
    });
    socket.on("close", (code) => resolve(code));
    socket.on("open", () => socket.ping());
    socket.on("pong", () => {
      resolve(0);
      socket.terminate();
    });
  });
}

const connect = (url: string, headers: Record<string, string> = hello) =>
  new WebSocket(url, { headers, perMessageDeflate: false });

test("malformed message closes only the link that carried it", async (t) => {
  const { links, url, received } = await openLinks(t);
  const good = connect(url, { ...hello, "lagoon-node": "127.0.0.1:8" });
  t.after(() => good.terminate());
  await new Promise((resolve) => good.once("open", resolve));
  const bad = [
    Buffer.from([0xc1]),
    packr.pack({ type: "membership/ping", applied: "x", sums: null }),
    packr.pack({ type: "nonsense" }),
    packr.pack(null),
    packr.pack({ type: "constructor/x" }),
  ];
  for (const bytes of bad) {
    const socket = connect(url);
    socket.once("open", () => socket.send(bytes));
    assert.equal(await outcomeOf(socket), 1008);
  }
  assert.equal(links.totals.malformed, bad.length);
  assert.equal(received.length, 0);
  const type = "membership/ping";
  good.send(packr.pack({ type, applied: 1, sums: null }));
  while (received.length === 0) {
    await new Promise((resolve) => setImmediate(resolve));
  }
  assert.equal(received[0]?.type, type);
});

test("oversized message closes the link", async (t) => {
  const { links, url, received } = await openLinks(t);
  const socket = connect(url);
  socket.once("open", () => socket.send(Buffer.alloc(17 * 1024 * 1024)));
  assert.equal(await outcomeOf(socket), 1009);
  assert.equal(links.totals.malformed, 1);
  assert.equal(received.length, 0);
});

test("peer with wrong key, version or domain is refused", async (t) => {
  const { links, url } = await openLinks(
    t,
    (info) => info.domain === "zone-z" ? "it is in zone-a" : undefined,
  );
  const refusal = (headers: Record<string, string>) =>
    outcomeOf(connect(url, { ...hello, ...headers }));
  assert.equal(await refusal({ authorization: "Bearer key-c" }), 401);
  assert.equal(await refusal({ "lagoon-protocol": "2" }), 426);
  assert.equal(await refusal({ "lagoon-domain": "zone-z" }), 409);
  assert.equal(links.totals.refused, 3);
  const old = connect(url, { ...hello, authorization: "Bearer key-a" });
  await new Promise((resolve) => old.once("open", resolve));
  old.terminate();
});

test("too many peers that connect at once are refused", async (t) => {
  const { url } = await openLinks(t);
  const sockets = Array.from(
    { length: 60 },
    (_, index) =>
      connect(url, { ...hello, "lagoon-node": `127.0.0.1:${index + 1}` }),
  );
  const settled = await Promise.all(sockets.map(outcomeOf));
  assert.ok(settled.filter((one) => one === 0).length >= 40);
  assert.ok(settled.includes(503));
});
