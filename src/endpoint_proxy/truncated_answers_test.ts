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

/** Starts an endpoint that answers through `onRequest`, and its home node. */
async function startHome(
  t: TestContext,
  onRequest: (req: RawRequest) => void,
) {
  const endpoint = await createRawEndpoint(t, onRequest);
  const home = createTestHome(t, endpoint);
  return { home, requests: endpoint.requests };
}

/**
 * Number of the last call id. Ids have one length, so that a position in an
 * answer is the same for all calls.
 */
let lastCallNumber = 10_000;

/** Resolves with the event that ends the attempt. */
function attemptCall(home: LocalHome, target: string): Promise<AttemptEvent> {
  const callId = `r-${++lastCallNumber}`;
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
      const isLastEvent = event.type === "refused" || event.type === "failed" ||
        event.type === "answered";
      if (isLastEvent) resolve(event);
    });
  });
}

const OK_ANSWER =
  "HTTP/1.1 200 OK\r\ncall-id: r-00000\r\ncontent-length: 2\r\n\r\nok";

interface AnswerForm {
  readonly name: string;
  readonly head: string;
  readonly body: string;
  /** Whether the end of the connection marks the end of the answer. */
  readonly endsWithConnection?: boolean;
}

const ID_HEADER = "call-id: r-00000\r\n";
const CHUNKED_BODY = "4\r\nbody\r\n3;x=y\r\nend\r\n0\r\n\r\n";
const ANSWER_FORMS: readonly AnswerForm[] = [
  {
    name: "length",
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}content-length: 12\r\n\r\n`,
    body: "body of 12 b",
  },
  {
    name: "length, closing",
    head:
      `HTTP/1.1 200 OK\r\ncontent-length: 12\r\nconnection: close\r\n${ID_HEADER}\r\n`,
    body: "body of 12 b",
  },
  {
    name: "length after a hint",
    head:
      `HTTP/1.1 103 Hint\r\nlink: a\r\n\r\nHTTP/1.1 200 OK\r\n${ID_HEADER}content-length: 4\r\n\r\n`,
    body: "body",
  },
  {
    name: "length after a closing hint",
    head:
      `HTTP/1.1 103 Hint\r\nconnection: close\r\n${ID_HEADER}\r\nHTTP/1.1 200 OK\r\n${ID_HEADER}content-length: 4\r\n\r\n`,
    body: "body",
  },
  {
    name: "chunks",
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}transfer-encoding: chunked\r\n\r\n`,
    body: CHUNKED_BODY,
  },
  {
    name: "chunks, closing",
    head:
      `HTTP/1.1 200 OK\r\n${ID_HEADER}connection: close\r\ntransfer-encoding: chunked\r\n\r\n`,
    body: CHUNKED_BODY,
  },
  {
    name: "chunks with trailers",
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}transfer-encoding: chunked\r\n\r\n`,
    body: "4\r\nbody\r\n0\r\nsum: 1\r\n\r\n",
  },
  {
    name: "no length",
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}\r\n`,
    body: "body",
    endsWithConnection: true,
  },
  {
    name: "no length, HTTP/1.0",
    head: `HTTP/1.0 200 OK\r\n${ID_HEADER}\r\n`,
    body: "body",
    endsWithConnection: true,
  },
  {
    name: "coded without chunks",
    head: `HTTP/1.1 200 OK\r\n${ID_HEADER}transfer-encoding: gzip\r\n\r\n`,
    body: "body",
    endsWithConnection: true,
  },
  {
    name: "failure",
    head: `HTTP/1.1 500 Failed\r\n${ID_HEADER}content-length: 4\r\n\r\n`,
    body: "body",
  },
  {
    name: "not found, closing",
    head:
      `HTTP/1.1 404 No\r\n${ID_HEADER}connection: close\r\ncontent-length: 4\r\n\r\n`,
    body: "body",
  },
];

const CONNECTION_ENDS = {
  fin: (socket: RawRequest["socket"], bytes: string) => {
    socket.end(bytes, "latin1");
  },
  reset: (socket: RawRequest["socket"], bytes: string) => {
    socket.write(bytes, "latin1", () => socket.resetAndDestroy());
  },
  // The home node has to read the bytes before the reset discards them.
  "late reset": (socket: RawRequest["socket"], bytes: string) => {
    socket.write(bytes, "latin1");
    setTimeout(() => socket.resetAndDestroy(), 3);
  },
} as const;

for (const form of ANSWER_FORMS) {
  for (const [ending, endSocket] of Object.entries(CONNECTION_ENDS)) {
    for (const isKept of [false, true]) {
      const where = isKept ? "kept" : "fresh";
      test(`truncated answer fails: ${form.name}, ${ending}, ${where}`, async (t) => {
        const bytes = form.head + form.body;
        const abortTurn = isKept ? 2 : 1;
        const { home, requests } = await startHome(
          t,
          ({ socket, target, seq, callId }) => {
            const withId = (text: string) => text.replaceAll("r-00000", callId);
            if (seq !== abortTurn) return void socket.write(withId(OK_ANSWER));
            endSocket(socket, withId(bytes).slice(0, Number(target.slice(1))));
          },
        );
        for (let at = 0; at < bytes.length; at++) {
          // Such an answer is complete where its connection is closed normally.
          const mayBeComplete = form.endsWithConnection === true &&
            ending === "fin" &&
            at >= form.head.length;
          if (mayBeComplete) continue;
          let event = await attemptCall(home, `/${at}`);
          // Repeats until the call was sent on the connection that is aborted:
          // the pool may use other connections first, and one may be refused.
          while (
            requests.at(-1)?.seq !== abortTurn || event.type === "refused"
          ) event = await attemptCall(home, `/${at}`);
          const given = JSON.stringify(bytes.slice(0, at));
          assert.equal(event.type, "failed", `${given} ${event.type}`);
        }
      });
    }
  }
}
