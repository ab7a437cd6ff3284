import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import { Buffer } from "node:buffer";
import type { AttemptEvent } from "../calls/state.ts";
import {
  createRawEndpoint,
  type RawRequest,
} from "../testing/create_raw_endpoint.ts";
import { createTestHome } from "../testing/create_test_home.ts";
import { offeredCall } from "../testing/offered_call.ts";

/** Large enough that the endpoint's socket can't take it at once. */
const UPLOAD = Buffer.alloc(8 * 1024 * 1024, "a");

/** Time for bytes to cross loopback, in milliseconds. */
const SETTLE_MS = 30;

type Respond = (req: RawRequest) => void;

/** Resolves with the event that ends the call, with its body if it has one. */
async function callEndpoint(
  t: TestContext,
  respond: Respond,
  body: Buffer = Buffer.alloc(0),
): Promise<AttemptEvent> {
  const endpoint = await createRawEndpoint(t, respond);
  const home = createTestHome(t, endpoint);
  const call = offeredCall({
    method: body.length > 0 ? "POST" : "GET",
    body,
    mayBeLate: true,
    leftMs: 1_500,
    objectiveLeftMs: 1_500,
  });
  return new Promise((resolve) => {
    home.attempt(call, (event) => {
      const isLast = event.type === "refused" || event.type === "failed" ||
        event.type === "ended" ||
        (event.type === "answered" && event.body !== undefined);
      if (isLast) resolve(event);
    });
  });
}

const head = (status: string, headers = "") => ({ callId }: RawRequest) =>
  `HTTP/1.1 ${status}\r\ncall-id: ${callId}\r\n${headers}\r\n`;

const EARLY_HEADS = {
  "no length": head("200 OK"),
  "no length, closing": head("200 OK", "connection: close\r\n"),
  "no length, HTTP/1.0": ({ callId }: RawRequest) =>
    `HTTP/1.0 200 OK\r\ncall-id: ${callId}\r\n\r\n`,
  "length": head("200 OK", "content-length: 20\r\n"),
  "chunks": head("200 OK", "transfer-encoding: chunked\r\n"),
};

const RESETS: Record<string, (socket: RawRequest["socket"]) => void> = {
  "at once": (socket) => socket.resetAndDestroy(),
  "later": (socket) =>
    void setTimeout(() => socket.resetAndDestroy(), SETTLE_MS),
  // Closing with unread bytes of the upload resets the connection.
  "by a close": (socket) => void setTimeout(() => socket.destroy(), SETTLE_MS),
};

for (const [form, headOf] of Object.entries(EARLY_HEADS)) {
  for (const [when, reset] of Object.entries(RESETS)) {
    test(`early answer that is reset during the upload fails: ${form}, ${when}`, async (t) => {
      const event = await callEndpoint(t, (req) => {
        req.socket.pause();
        const part = form === "chunks" ? "4\r\npart\r\n" : "part";
        req.socket.write(headOf(req) + part, () => reset(req.socket));
      }, UPLOAD);
      assert.equal(event.type, "failed", JSON.stringify(event));
    });
  }
}

test("answer without a length that its endpoint closes early fails while the upload is written", async (t) => {
  const event = await callEndpoint(t, (req) => {
    req.socket.pause();
    req.socket.end(`${head("200 OK")(req)}part`);
  }, UPLOAD);
  assert.equal(event.type, "failed", JSON.stringify(event));
});

const BAD_STATUSES = ["000", "0", "001", "099", "20", "2000", "600", "999"];
for (const status of BAD_STATUSES) {
  test(`answer with the status ${status} fails`, async (t) => {
    const event = await callEndpoint(t, (req) => {
      req.socket.end(
        head(`${status} X`, "content-length: 2\r\n")(req) + "ok",
      );
    });
    assert.equal(event.type, "failed", JSON.stringify(event));
  });
}

test("interim answers without an end fail at the deadline", async (t) => {
  const event = await callEndpoint(t, ({ socket }) => {
    const timer = setInterval(
      () => socket.write("HTTP/1.1 102 Processing\r\n\r\n"),
      5,
    );
    socket.once("close", () => clearInterval(timer));
  });
  assert.equal(event.type, "failed", JSON.stringify(event));
});

for (const status of ["101 Switch", "199 X", "150 X"]) {
  test(`status ${status} is no final answer`, async (t) => {
    const event = await callEndpoint(t, (req) => {
      req.socket.end(head(status, "content-length: 2\r\n")(req) + "ok");
    });
    assert.equal(event.type, "failed", JSON.stringify(event));
  });
}

for (const status of ["204 Empty", "304 Same"]) {
  test(`body behind ${status} is not passed on`, async (t) => {
    const event = await callEndpoint(t, (req) => {
      req.socket.write(head(status, "content-length: 4\r\n")(req) + "body");
    });
    assert.ok(
      event.type === "failed" ||
        (event.type === "answered" && event.body?.length === 0),
      JSON.stringify(event),
    );
  });
}

const CONTRADICTIONS = {
  "a length and chunks": "content-length: 4\r\ntransfer-encoding: chunked\r\n",
  "chunks and a length": "transfer-encoding: chunked\r\ncontent-length: 4\r\n",
  "two lengths": "content-length: 4\r\ncontent-length: 6\r\n",
};
for (const [name, headers] of Object.entries(CONTRADICTIONS)) {
  test(`answer with ${name} fails`, async (t) => {
    const event = await callEndpoint(t, (req) => {
      req.socket.end(
        head("200 OK", headers)(req) + "4\r\nbody\r\n0\r\n\r\n",
      );
    });
    assert.equal(event.type, "failed", JSON.stringify(event));
  });
}

test("reset after the last chunk but before the end fails", async (t) => {
  const event = await callEndpoint(t, (req) => {
    const headers = "transfer-encoding: chunked\r\n";
    req.socket.write(
      head("200 OK", headers)(req) + "4\r\nbody\r\n0\r\n",
      () => setTimeout(() => req.socket.resetAndDestroy(), SETTLE_MS),
    );
  });
  assert.equal(event.type, "failed", JSON.stringify(event));
});
