import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import type { AttemptEvent } from "../calls/state.ts";
import {
  createRawEndpoint,
  type RawRequest,
} from "../testing/create_raw_endpoint.ts";
import { createTestHome } from "../testing/create_test_home.ts";
import { offeredCall } from "../testing/offered_call.ts";
import type { LocalHome } from "./create_home.ts";

/** Starts a home of an endpoint that answers as told. */
async function homeOf(
  t: TestContext,
  onRequest: (req: RawRequest) => void,
) {
  const endpoint = await createRawEndpoint(t, onRequest);
  const home = createTestHome(t, endpoint);
  return { home, requests: endpoint.requests };
}

/** Ids of one length, so that answers have the same positions. */
let lastId = 10_000;

/** Resolves with the event that ends the attempt. */
function offer(home: LocalHome, target: string): Promise<AttemptEvent> {
  const callId = `r-${++lastId}`;
  const headers = ["host", "shop.example", "call-id", callId];
  const call = offeredCall({
    id: callId,
    headers,
    target,
    mayBeLate: true,
    leftMs: 60_000,
    objectiveLeftMs: 60_000,
  });
  return new Promise((resolve) => {
    home.attempt(call, (event) => {
      const isLast = event.type === "refused" || event.type === "failed" ||
        event.type === "answered";
      if (isLast) resolve(event);
    });
  });
}

const whole =
  "HTTP/1.1 200 OK\r\ncall-id: r-00000\r\ncontent-length: 2\r\n\r\nok";

interface Form {
  readonly name: string;
  readonly head: string;
  readonly body: string;
  /** The end of the connection is the end of the answer. */
  readonly isOpen?: boolean;
}

const id = "call-id: r-00000\r\n";
const chunks = "4\r\nbody\r\n3;x=y\r\nend\r\n0\r\n\r\n";
const forms: readonly Form[] = [
  {
    name: "length",
    head: `HTTP/1.1 200 OK\r\n${id}content-length: 12\r\n\r\n`,
    body: "body of 12 b",
  },
  {
    name: "length, closing",
    head:
      `HTTP/1.1 200 OK\r\ncontent-length: 12\r\nconnection: close\r\n${id}\r\n`,
    body: "body of 12 b",
  },
  {
    name: "length after a hint",
    head:
      `HTTP/1.1 103 Hint\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n${id}content-length: 4\r\n\r\n`,
    body: "body",
  },
  {
    name: "length after a closing hint",
    head:
      `HTTP/1.1 103 Hint\r\nconnection: close\r\n${id}\r\nHTTP/1.1 200 OK\r\n${id}content-length: 4\r\n\r\n`,
    body: "body",
  },
  {
    name: "chunks",
    head: `HTTP/1.1 200 OK\r\n${id}transfer-encoding: chunked\r\n\r\n`,
    body: chunks,
  },
  {
    name: "chunks, closing",
    head:
      `HTTP/1.1 200 OK\r\n${id}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`,
    body: chunks,
  },
  {
    name: "chunks with trailers",
    head: `HTTP/1.1 200 OK\r\n${id}transfer-encoding: chunked\r\n\r\n`,
    body: "4\r\nbody\r\n0\r\nsum: 1\r\n\r\n",
  },
  {
    name: "no length",
    head: `HTTP/1.1 200 OK\r\n${id}\r\n`,
    body: "body",
    isOpen: true,
  },
  {
    name: "no length, HTTP/1.0",
    head: `HTTP/1.0 200 OK\r\n${id}\r\n`,
    body: "body",
    isOpen: true,
  },
  {
    name: "coded without chunks",
    head: `HTTP/1.1 200 OK\r\n${id}transfer-encoding: gzip\r\n\r\n`,
    body: "body",
    isOpen: true,
  },
  {
    name: "failure",
    head: `HTTP/1.1 500 Failed\r\n${id}content-length: 4\r\n\r\n`,
    body: "body",
  },
  {
    name: "not found, closing",
    head:
      `HTTP/1.1 404 No\r\n${id}connection: close\r\ncontent-length: 4\r\n\r\n`,
    body: "body",
  },
];

const ends = {
  fin: (socket: RawRequest["socket"], bytes: string) => {
    socket.end(bytes, "latin1");
  },
  reset: (socket: RawRequest["socket"], bytes: string) => {
    socket.write(bytes, "latin1", () => socket.resetAndDestroy());
  },
  // The bytes have to be read before the reset discards them.
  "late reset": (socket: RawRequest["socket"], bytes: string) => {
    socket.write(bytes, "latin1");
    setTimeout(() => socket.resetAndDestroy(), 3);
  },
} as const;

for (const form of forms) {
  for (const [how, cut] of Object.entries(ends)) {
    for (const isKept of [false, true]) {
      const where = isKept ? "kept" : "fresh";
      test(`cut answer is not whole: ${form.name}, ${how}, ${where}`, async (t) => {
        const bytes = form.head + form.body;
        const cutTurn = isKept ? 2 : 1;
        const { home, requests } = await homeOf(
          t,
          ({ socket, target, turn, callId }) => {
            const named = (text: string) => text.replaceAll("r-00000", callId);
            if (turn !== cutTurn) return void socket.write(named(whole));
            cut(socket, named(bytes).slice(0, Number(target.slice(1))));
          },
        );
        for (let at = 0; at < bytes.length; at++) {
          // What ends in good order behind such a head is whole.
          const mayBeWhole = form.isOpen === true && how === "fin" &&
            at >= form.head.length;
          if (mayBeWhole) continue;
          let event = await offer(home, `/${at}`);
          // Other connections may be used first, and one may be refused.
          while (
            requests.at(-1)?.turn !== cutTurn || event.type === "refused"
          ) event = await offer(home, `/${at}`);
          const given = JSON.stringify(bytes.slice(0, at));
          assert.equal(event.type, "failed", `${given} ${event.type}`);
        }
      });
    }
  }
}
