import { connect } from "node:net";
import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  addEndpoint,
  type CallNode,
  startCallNode,
  startUpstream,
} from "../testing/start_call_node.ts";

/** Entry and home, whose upstream writes so many bytes and closes. */
async function startPair(t: TestContext, answer: string) {
  const [entry, home] = await Promise.all([startCallNode(t), startCallNode(t)]);
  const endpoint = await startUpstream(t, (req, res) => {
    const at = Number((req.url ?? "").split("=")[1]);
    req.resume();
    req.on("end", () => res.socket?.end(answer.slice(0, at)));
  });
  addEndpoint(home, endpoint, [entry, home]);
  return [entry, home];
}

/** What came on a connection until its end. */
interface Wire {
  readonly text: string;
  readonly isReset: boolean;
}

interface WireOptions {
  readonly http?: "1.0" | "1.1";
  readonly bodyBytes?: number;
}

/** Sends a call on a connection of its own and reads all that comes. */
function readWire(
  node: CallNode,
  at: number,
  { http = "1.1", bodyBytes = 0 }: WireOptions = {},
): Promise<Wire> {
  const { hostname, port } = new URL(node.url);
  return new Promise((resolve) => {
    const socket = connect({ host: hostname, port: Number(port) });
    let text = "";
    let isReset = false;
    socket.on("data", (part) => text += part.toString("latin1"));
    socket.on("error", () => isReset = true);
    socket.on("close", () => resolve({ text, isReset }));
    socket.write(
      `PUT /portaal/once?at=${at} HTTP/${http}\r\nhost: h\r\n` +
        "lagoon-customer: baker\r\nconnection: close\r\n" +
        `content-length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`,
    );
  });
}

/** Whether a client that reads it would take it as a whole success. */
function looksWhole({ text, isReset }: Wire): boolean {
  const [head = "", ...rest] = text.split("\r\n\r\n");
  if (!head.startsWith("HTTP/1.1 200")) return false;
  const body = rest.join("\r\n\r\n");
  const length = /\r\ncontent-length: (\d+)/i.exec(head)?.[1];
  if (length !== undefined) return body.length === Number(length);
  if (/\r\ntransfer-encoding: chunked/i.test(head)) {
    return text.endsWith("\r\n0\r\n\r\n");
  }
  return !isReset;
}

const ok = "HTTP/1.1 200 OK\r\nserver: s\r\n";
const answers = {
  length: `${ok}content-length: 12\r\n\r\nbody of 12 b`,
  "length, closing":
    `${ok}connection: close\r\ncontent-length: 12\r\n\r\nbody of 12 b`,
  "chunks behind a hint": "HTTP/1.1 103 Hint\r\nlink: a\r\n\r\n" +
    `${ok}transfer-encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n`,
} as const;

for (const [name, answer] of Object.entries(answers)) {
  for (const bodyBytes of [0, 100_000]) {
    test(`cut answer is not whole: ${name}, body of ${bodyBytes}`, async (t) => {
      const nodes = await startPair(t, answer);
      for (let at = 0; at < answer.length; at++) {
        for (const node of nodes) {
          const wire = await readWire(node, at, { bodyBytes });
          assert.ok(!looksWhole(wire), `${at} ${wire.text}`);
          assert.doesNotMatch(wire.text, /^HTTP\/1.1 (408|421|429|503)/);
        }
      }
      for (const node of nodes) {
        const wire = await readWire(node, answer.length, { bodyBytes });
        assert.ok(looksWhole(wire), wire.text);
      }
    });
  }
}

test("cut answer is not whole: coded without chunks", async (t) => {
  const answer = `${ok}transfer-encoding: gzip\r\n\r\nbody`;
  for (const node of await startPair(t, answer)) {
    for (let at = answer.length - 5; at < answer.length; at++) {
      const wire = await readWire(node, at);
      assert.ok(!looksWhole(wire), `${at} ${wire.text}`);
    }
  }
});

test("cut answer is not whole: HTTP/1.0 caller", async (t) => {
  const chunk = `8000\r\n${"x".repeat(0x8000)}\r\n`;
  const answer = `${ok}transfer-encoding: chunked\r\n\r\n${chunk.repeat(8)}` +
    "0\r\n\r\n";
  for (const node of await startPair(t, answer)) {
    for (const at of [70_000, 200_000, answer.length - 3]) {
      const wire = await readWire(node, at, { http: "1.0" });
      assert.ok(!looksWhole(wire), `${at} ${wire.text.slice(0, 200)}`);
    }
  }
});
