import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  type Attempt,
  type AttemptEvent,
  type OfferedCall,
  RefusedBy,
} from "../calls/state.ts";
import { exhausted } from "../core/exhausted.ts";
import {
  createRawEndpoint,
  type RawRequest,
} from "../testing/create_raw_endpoint.ts";
import { createTestHome } from "../testing/create_test_home.ts";
import { offeredCall } from "../testing/offered_call.ts";
import type { LocalHome } from "./create_home.ts";

/** Times that don't expire even if a busy machine suspends the test process. */
const LONG_TIMES = { leftMs: 60_000, objectiveLeftMs: 60_000 };

async function startHome(t: TestContext, onRequest: (req: RawRequest) => void) {
  const endpoint = await createRawEndpoint(t, onRequest);
  const home = createTestHome(t, endpoint);
  return { home, endpoint };
}

function callOf(id: string, change: Partial<OfferedCall> = {}): OfferedCall {
  const headers = ["host", "shop.example", "call-id", id];
  return offeredCall({
    id,
    headers,
    mayBeLate: true,
    ...LONG_TIMES,
    ...change,
  });
}

/**
 * Resolves with the event that ends the call, in the turn of the event. A call
 * that is refused because no connection opened in time is attempted again.
 */
function attemptCall(
  home: LocalHome,
  id: string,
  change: Partial<OfferedCall> = {},
  onAttempt: (attempt: Attempt) => void = () => {},
): Promise<AttemptEvent> {
  return new Promise((resolve) => {
    const begin = () => {
      const attempt = home.attempt(callOf(id, change), (event) => {
        switch (event.type) {
          case "admitted":
            return onAttempt(attempt);
          case "refused":
            if (event.refusal.by === RefusedBy.Endpoint) return resolve(event);
            setTimeout(begin, 20);
            return;
          case "failed":
          case "answered":
            return resolve(event);
          case "overdue":
          case "chunk":
          case "ended":
            return;
          default:
            exhausted(event);
        }
      });
    };
    begin();
  });
}

const refusal = (id: string, status = 503) =>
  `HTTP/1.1 ${status} Full\r\ncall-id: ${id}\r\nnot-run: 1\r\n` +
  "content-length: 0\r\n\r\n";
const success = (id: string) =>
  `HTTP/1.1 200 OK\r\ncall-id: ${id}\r\ncontent-length: 2\r\n\r\nok`;

/** Returns the result of the call as one word or status, for assertions. */
function outcomeOf(event: AttemptEvent): string {
  switch (event.type) {
    case "refused":
      return "not run";
    case "answered":
      return String(event.head.status);
    default:
      return event.type;
  }
}

async function outcomeOfAnswer(
  t: TestContext,
  answer: string,
): Promise<string> {
  const { home } = await startHome(t, ({ socket }) => socket.write(answer));
  return outcomeOf(await attemptCall(home, "r-1"));
}

test("a refusal with the call's id is accepted as not run", async (t) => {
  for (const status of [400, 408, 421, 429, 503]) {
    assert.equal(await outcomeOfAnswer(t, refusal("r-1", status)), "not run");
  }
});

test("an answer without a call id fails the call", async (t) => {
  for (const status of [200, 400, 404, 421, 429, 500, 503]) {
    for (const mark of ["", "not-run: 1\r\n"]) {
      const answer =
        `HTTP/1.1 ${status} No\r\n${mark}content-length: 0\r\n\r\n`;
      assert.equal(await outcomeOfAnswer(t, answer), "failed", answer);
    }
  }
});

test("an answer with two call ids fails the call", async (t) => {
  for (const ids of [["r-0", "r-1"], ["r-1", "r-0"]]) {
    const fields = ids.map((id) => `call-id: ${id}\r\n`).join("");
    const answer =
      `HTTP/1.1 503 Full\r\n${fields}not-run: 1\r\ncontent-length: 0\r\n\r\n`;
    assert.equal(await outcomeOfAnswer(t, answer), "failed", answer);
  }
});

test("a success marked as not run fails the call", async (t) => {
  const answer = "HTTP/1.1 200 OK\r\ncall-id: r-1\r\nnot-run: 1\r\n" +
    "content-length: 2\r\n\r\nok";
  assert.equal(await outcomeOfAnswer(t, answer), "failed");
});

test("a status that implies not run needs the not-run header", async (t) => {
  for (const status of [408, 429, 503]) {
    const answer =
      `HTTP/1.1 ${status} No\r\ncall-id: r-1\r\ncontent-length: 0\r\n\r\n`;
    assert.equal(await outcomeOfAnswer(t, answer), "failed", answer);
  }
});

test("a resent call does not get the refusal of the earlier attempt", async (t) => {
  const { home, endpoint } = await startHome(
    t,
    ({ socket, callId, connection }) => {
      const sent = endpoint.requests.filter((one) =>
        one.callId === callId && one.connection === connection
      );
      // The second call with this id is running when the refusal of the first
      // is written again.
      if (sent.length > 1) return void socket.write(refusal(callId));
      if (callId === "r-1") return void socket.write(refusal(callId));
      socket.write(success(callId));
    },
  );
  for (let round = 0; round < 4; round++) {
    await attemptCall(home, "r-1");
    await attemptCall(home, `r-${round + 10}`);
  }
  const seen = endpoint.requests.map((one) =>
    `${one.connection} ${one.callId}`
  );
  assert.equal(new Set(seen).size, seen.length, seen.join(", "));
});

test("a resent call does not get the answer of an earlier attempt", async (t) => {
  const { home, endpoint } = await startHome(
    t,
    ({ socket, callId }) => socket.write(success(callId)),
  );
  for (let round = 0; round < 4; round++) {
    assert.equal(outcomeOf(await attemptCall(home, "r-1")), "200");
  }
  assert.deepEqual(endpoint.requests.map((one) => one.seq), [1, 1, 1, 1]);
});

test("connections for retried calls replace idle ones", async (t) => {
  const open = new Set<unknown>();
  let most = 0;
  const { home } = await startHome(t, ({ socket, callId }) => {
    open.add(socket);
    socket.on("close", () => open.delete(socket));
    most = Math.max(most, open.size);
    socket.write(success(callId));
  });
  for (let round = 0; round < 40; round++) {
    assert.equal(outcomeOf(await attemptCall(home, "r-1")), "200");
  }
  // The endpoint detects closed connections a little later.
  assert.ok(most < 20, `${most} open connections`);
});

test("a connection is replaced after a thousand calls", async (t) => {
  const { home, endpoint } = await startHome(
    t,
    ({ socket, callId }) => socket.write(success(callId)),
  );
  for (let round = 0; round < 1_500; round++) {
    assert.equal(outcomeOf(await attemptCall(home, `r-${round}`)), "200");
  }
  const most = Math.max(...endpoint.requests.map((one) => one.seq));
  assert.ok(most <= 1_001, `${most} calls`);
});

test("calls with other ids share a connection", async (t) => {
  const { home, endpoint } = await startHome(
    t,
    ({ socket, callId }) => socket.write(success(callId)),
  );
  for (let round = 0; round < 20; round++) {
    assert.equal(outcomeOf(await attemptCall(home, `r-${round}`)), "200");
  }
  // More than one connection is allowed: those that were idle for some seconds
  // are not used again.
  assert.ok(endpoint.connections() <= 10, `${endpoint.connections()}`);
});

test("an earlier refusal is not attributed to the next call", async (t) => {
  const { home } = await startHome(t, ({ socket, seq }) => {
    socket.write(refusal("r-1"));
    // Written twice, so that the second refusal is already on the connection
    // when the next answer is due.
    if (seq === 1) setImmediate(() => socket.write(refusal("r-1")));
  });
  assert.equal(outcomeOf(await attemptCall(home, "r-1")), "not run");
  for (const id of ["r-2", "r-3", "r-4"]) {
    assert.equal(outcomeOf(await attemptCall(home, id)), "failed");
  }
});

test("a refusal written twice in one turn is not attributed to the next call", async (t) => {
  const { home } = await startHome(t, ({ socket, callId }) => {
    socket.write(
      callId === "r-1" ? refusal("r-1") + refusal("r-1") : success(callId),
    );
  });
  const next = new Promise<AttemptEvent>((resolve) => {
    const begin = () =>
      home.attempt(callOf("r-1"), (event) => {
        if (event.type !== "refused") return;
        // In the same turn, before the bytes after the refusal are read.
        if (event.refusal.by === RefusedBy.Endpoint) {
          resolve(attemptCall(home, "r-2"));
        } else setTimeout(begin, 20);
      });
    begin();
  });
  assert.equal(outcomeOf(await next), "200");
});

test("a refusal on an idle connection is not attributed to any call", async (t) => {
  let onCopyClosed = () => {};
  const copyClosed = new Promise<void>((resolve) => onCopyClosed = resolve);
  const { home, endpoint } = await startHome(t, ({ socket, callId }) => {
    if (callId !== "r-1") return void socket.write(success(callId));
    socket.write(refusal("r-1"));
    socket.on("close", onCopyClosed);
    setTimeout(() => socket.write(refusal("r-1")), 20);
  });
  assert.equal(outcomeOf(await attemptCall(home, "r-1")), "not run");
  await copyClosed;
  assert.equal(outcomeOf(await attemptCall(home, "r-2")), "200");
  assert.deepEqual(endpoint.requests.map((one) => one.seq), [1, 1]);
});

test("a success after a refusal is not attributed to any call", async (t) => {
  for (const delayMs of [0, 20]) {
    let onClosed = () => {};
    const closed = new Promise<void>((resolve) => onClosed = resolve);
    const { home } = await startHome(t, ({ socket, callId }) => {
      if (callId !== "r-1") return void socket.write(success(callId));
      socket.on("close", onClosed);
      if (delayMs === 0) {
        return void socket.write(refusal("r-1") + success("r-1"));
      }
      socket.write(refusal("r-1"));
      setTimeout(() => socket.write(success("r-1")), delayMs);
    });
    assert.equal(outcomeOf(await attemptCall(home, "r-1")), "not run");
    await closed;
    assert.equal(outcomeOf(await attemptCall(home, "r-2")), "200");
  }
});

/** Attempts a call whose body never ends. */
function attemptUpload(home: LocalHome, id: string): Promise<AttemptEvent> {
  const change = { method: "POST", body: undefined, bodyBytes: 2_000_000 };
  return attemptCall(home, id, change, (attempt) => {
    setImmediate(() => attempt.send(Buffer.alloc(1_000_000, "x")));
  });
}

test("a refusal during an upload is attributed only to the call it names", async (t) => {
  for (
    const [id, outcome] of [["r-1", "not run"], ["r-0", "failed"]] as const
  ) {
    let onClosed = () => {};
    const closed = new Promise<void>((resolve) => onClosed = resolve);
    const { home } = await startHome(t, ({ socket }) => {
      socket.on("close", onClosed);
      socket.write(refusal(id));
    });
    assert.equal(outcomeOf(await attemptUpload(home, "r-1")), outcome);
    // The connection is closed, so that the rest of the body can't be read as
    // the next request.
    await closed;
  }
});

for (
  const [name, fields, rest] of [
    ["stalls", "content-length: 9", ""],
    ["never ends", "transfer-encoding: chunked", "ffff\r\n"],
    ["has no length", "x: y", ""],
  ] as const
) {
  test(`a refusal that ${name} does not keep its connection`, async (t) => {
    let onClosed = () => {};
    const closed = new Promise<void>((resolve) => onClosed = resolve);
    const { home } = await startHome(t, ({ socket }) => {
      socket.on("close", onClosed);
      socket.write(
        `HTTP/1.1 503 Full\r\ncall-id: r-1\r\nnot-run: 1\r\n${fields}\r\n\r\n`,
      );
      if (rest === "") return;
      const chunk = `${rest}${"x".repeat(65_535)}\r\n`;
      const write = () => {
        while (!socket.destroyed && socket.write(chunk));
        if (!socket.destroyed) socket.once("drain", write);
      };
      write();
    });
    assert.equal(outcomeOf(await attemptCall(home, "r-1")), "not run");
    await closed;
  });
}
