import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  isCompleteSuccess,
  readWire,
  type Wire,
} from "../testing/read_wire.ts";
import {
  addEndpoint,
  type CallNode,
  startCallNode,
  startUpstream,
} from "../testing/start_call_node.ts";

let calls = 0;

/** Calls that reached the upstream. */
const reachedCalls = new Set<string>();

/**
 * Starts an entry node and a home node, whose upstream writes the number of
 * bytes given in the URL and closes the connection.
 */
async function startPair(t: TestContext, answer: string) {
  const [entry, home] = await Promise.all([startCallNode(t), startCallNode(t)]);
  const endpoint = await startUpstream(t, (req, res) => {
    const [, at, call = ""] = (req.url ?? "").split("=");
    reachedCalls.add(call);
    req.resume();
    req.on("end", () => res.socket?.end(answer.slice(0, Number(at))));
  });
  addEndpoint(home, endpoint, [entry, home]);
  return [entry, home];
}

interface WireOptions {
  readonly http?: "1.0" | "1.1";
  readonly bodyBytes?: number;
}

/** Sends calls until one reaches the upstream and reads its answer. */
async function sendCall(
  node: CallNode,
  at: number,
  { http = "1.1", bodyBytes = 0 }: WireOptions = {},
): Promise<Wire> {
  const call = String(++calls);
  const wire = await readWire({
    address: new URL(node.url).host,
    request: `PUT /portaal/once?at=${at}=${call} HTTP/${http}\r\nhost: h\r\n` +
      "lagoon-customer: baker\r\nconnection: close\r\n" +
      `content-length: ${bodyBytes}\r\n\r\n${"x".repeat(bodyBytes)}`,
  });
  if (reachedCalls.has(call)) return wire;
  // A busy node may refuse calls before it forwards them.
  assert.match(wire.text, /^HTTP\/1.1 (408|503) /);
  return await sendCall(node, at, { http, bodyBytes });
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
    test(`truncated answer looks incomplete: ${name}, body of ${bodyBytes}`, async (t) => {
      const nodes = await startPair(t, answer);
      for (let at = 0; at < answer.length; at++) {
        for (const node of nodes) {
          const wire = await sendCall(node, at, { bodyBytes });
          assert.ok(!isCompleteSuccess(wire), `${at} ${wire.text}`);
          assert.doesNotMatch(wire.text, /^HTTP\/1.1 (408|421|429|503)/);
        }
      }
      for (const node of nodes) {
        let wire = await sendCall(node, answer.length, { bodyBytes });
        while (!isCompleteSuccess(wire)) {
          wire = await sendCall(node, answer.length, { bodyBytes });
        }
      }
    });
  }
}

test("truncated answer looks incomplete: coded without chunks", async (t) => {
  const answer = `${ok}transfer-encoding: gzip\r\n\r\nbody`;
  for (const node of await startPair(t, answer)) {
    for (let at = answer.length - 5; at < answer.length; at++) {
      const wire = await sendCall(node, at);
      assert.ok(!isCompleteSuccess(wire), `${at} ${wire.text}`);
    }
  }
});

test("truncated answer looks incomplete: HTTP/1.0 caller", async (t) => {
  const chunk = `8000\r\n${"x".repeat(0x8000)}\r\n`;
  const answer = `${ok}transfer-encoding: chunked\r\n\r\n${chunk.repeat(8)}` +
    "0\r\n\r\n";
  for (const node of await startPair(t, answer)) {
    for (const at of [70_000, 200_000, answer.length - 3]) {
      const wire = await sendCall(node, at, { http: "1.0" });
      assert.ok(!isCompleteSuccess(wire), `${at} ${wire.text.slice(0, 200)}`);
    }
  }
});
