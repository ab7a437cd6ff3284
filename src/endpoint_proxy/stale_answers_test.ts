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

/** Time enough for a process that stands still beside other work. */
const patient = { leftMs: 60_000, objectiveLeftMs: 60_000 };

async function homeOf(t: TestContext, onRequest: (req: RawRequest) => void) {
  const endpoint = await createRawEndpoint(t, onRequest);
  const home = createTestHome(t, endpoint);
  return { home, endpoint };
}

function callOf(id: string, change: Partial<OfferedCall> = {}): OfferedCall {
  const headers = ["host", "shop.example", "call-id", id];
  return offeredCall({ id, headers, mayBeLate: true, ...patient, ...change });
}

/**
 * Resolves with the event that ends the call, in the turn of the event. A home
 * that gets no connection in time refuses the call, which is offered again.
 */
function offer(
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

/** What the endpoint said of the call, for assertions. */
function wordOf(event: AttemptEvent): string {
  switch (event.type) {
    case "refused":
      return "not run";
    case "answered":
      return String(event.head.status);
    default:
      return event.type;
  }
}

async function sayTo(t: TestContext, answer: string): Promise<string> {
  const { home } = await homeOf(t, ({ socket }) => socket.write(answer));
  return wordOf(await offer(home, "r-1"));
}

test("a refusal of the call is believed", async (t) => {
  for (const status of [400, 408, 421, 429, 503]) {
    assert.equal(await sayTo(t, refusal("r-1", status)), "not run");
  }
});

test("an answer without an id proves nothing", async (t) => {
  for (const status of [200, 400, 404, 421, 429, 500, 503]) {
    for (const mark of ["", "not-run: 1\r\n"]) {
      const answer =
        `HTTP/1.1 ${status} No\r\n${mark}content-length: 0\r\n\r\n`;
      assert.equal(await sayTo(t, answer), "failed", answer);
    }
  }
});

test("an answer with two ids proves nothing", async (t) => {
  for (const ids of [["r-0", "r-1"], ["r-1", "r-0"]]) {
    const fields = ids.map((id) => `call-id: ${id}\r\n`).join("");
    const answer =
      `HTTP/1.1 503 Full\r\n${fields}not-run: 1\r\ncontent-length: 0\r\n\r\n`;
    assert.equal(await sayTo(t, answer), "failed", answer);
  }
});

test("a success that says not run proves nothing", async (t) => {
  const answer = "HTTP/1.1 200 OK\r\ncall-id: r-1\r\nnot-run: 1\r\n" +
    "content-length: 2\r\n\r\nok";
  assert.equal(await sayTo(t, answer), "failed");
});

test("a status that promises not run needs the mark", async (t) => {
  for (const status of [408, 429, 503]) {
    const answer =
      `HTTP/1.1 ${status} No\r\ncall-id: r-1\r\ncontent-length: 0\r\n\r\n`;
    assert.equal(await sayTo(t, answer), "failed", answer);
  }
});

test("a call sent again does not get the earlier refusal", async (t) => {
  const { home, endpoint } = await homeOf(
    t,
    ({ socket, callId, connection }) => {
      const sent = endpoint.requests.filter((one) =>
        one.callId === callId && one.connection === connection
      );
      // The second is running when the first one's refusal comes once more.
      if (sent.length > 1) return void socket.write(refusal(callId));
      if (callId === "r-1") return void socket.write(refusal(callId));
      socket.write(success(callId));
    },
  );
  for (let round = 0; round < 4; round++) {
    await offer(home, "r-1");
    await offer(home, `r-${round + 10}`);
  }
  const seen = endpoint.requests.map((one) =>
    `${one.connection} ${one.callId}`
  );
  assert.equal(new Set(seen).size, seen.length, seen.join(", "));
});

test("a call sent again does not get an earlier answer", async (t) => {
  const { home, endpoint } = await homeOf(
    t,
    ({ socket, callId }) => socket.write(success(callId)),
  );
  for (let round = 0; round < 4; round++) {
    assert.equal(wordOf(await offer(home, "r-1")), "200");
  }
  assert.deepEqual(endpoint.requests.map((one) => one.turn), [1, 1, 1, 1]);
});

test("repeated calls take the place of idle connections", async (t) => {
  const open = new Set<unknown>();
  let most = 0;
  const { home } = await homeOf(t, ({ socket, callId }) => {
    open.add(socket);
    socket.on("close", () => open.delete(socket));
    most = Math.max(most, open.size);
    socket.write(success(callId));
  });
  for (let round = 0; round < 40; round++) {
    assert.equal(wordOf(await offer(home, "r-1")), "200");
  }
  // The endpoint hears a little later of connections that were closed.
  assert.ok(most < 20, `${most} open connections`);
});

test("a connection carries some thousand calls, not more", async (t) => {
  const { home, endpoint } = await homeOf(
    t,
    ({ socket, callId }) => socket.write(success(callId)),
  );
  for (let round = 0; round < 1_500; round++) {
    assert.equal(wordOf(await offer(home, `r-${round}`)), "200");
  }
  const most = Math.max(...endpoint.requests.map((one) => one.turn));
  assert.ok(most <= 1_001, `${most} calls`);
});

test("calls with other ids share a connection", async (t) => {
  const { home, endpoint } = await homeOf(
    t,
    ({ socket, callId }) => socket.write(success(callId)),
  );
  for (let round = 0; round < 20; round++) {
    assert.equal(wordOf(await offer(home, `r-${round}`)), "200");
  }
  // A connection that was idle for seconds is not used again.
  assert.ok(endpoint.connections() <= 10, `${endpoint.connections()}`);
});

test("a refusal behind the next call's head is not the call's", async (t) => {
  const { home } = await homeOf(t, ({ socket, turn }) => {
    socket.write(refusal("r-1"));
    // Twice, so that one waits in the connection where the next is due.
    if (turn === 1) setImmediate(() => socket.write(refusal("r-1")));
  });
  assert.equal(wordOf(await offer(home, "r-1")), "not run");
  for (const id of ["r-2", "r-3", "r-4"]) {
    assert.equal(wordOf(await offer(home, id)), "failed");
  }
});

test("a refusal written twice at once is not the next call's", async (t) => {
  const { home } = await homeOf(t, ({ socket, callId }) => {
    socket.write(
      callId === "r-1" ? refusal("r-1") + refusal("r-1") : success(callId),
    );
  });
  const next = new Promise<AttemptEvent>((resolve) => {
    const begin = () =>
      home.attempt(callOf("r-1"), (event) => {
        if (event.type !== "refused") return;
        // In the same turn, before the bytes behind the refusal are read.
        if (event.refusal.by === RefusedBy.Endpoint) {
          resolve(offer(home, "r-2"));
        } else setTimeout(begin, 20);
      });
    begin();
  });
  assert.equal(wordOf(await next), "200");
});

test("a refusal on an idle connection is nobody's", async (t) => {
  let copied = () => {};
  const isCopied = new Promise<void>((resolve) => copied = resolve);
  const { home, endpoint } = await homeOf(t, ({ socket, callId }) => {
    if (callId !== "r-1") return void socket.write(success(callId));
    socket.write(refusal("r-1"));
    socket.on("close", copied);
    setTimeout(() => socket.write(refusal("r-1")), 20);
  });
  assert.equal(wordOf(await offer(home, "r-1")), "not run");
  await isCopied;
  assert.equal(wordOf(await offer(home, "r-2")), "200");
  assert.deepEqual(endpoint.requests.map((one) => one.turn), [1, 1]);
});

test("a success behind a refusal reaches nobody", async (t) => {
  for (const pauseMs of [0, 20]) {
    let isClosed = () => {};
    const closed = new Promise<void>((resolve) => isClosed = resolve);
    const { home } = await homeOf(t, ({ socket, callId }) => {
      if (callId !== "r-1") return void socket.write(success(callId));
      socket.on("close", isClosed);
      if (pauseMs === 0) {
        return void socket.write(refusal("r-1") + success("r-1"));
      }
      socket.write(refusal("r-1"));
      setTimeout(() => socket.write(success("r-1")), pauseMs);
    });
    assert.equal(wordOf(await offer(home, "r-1")), "not run");
    await closed;
    assert.equal(wordOf(await offer(home, "r-2")), "200");
  }
});

/** Offers a call whose body never comes to its end. */
function offerLong(home: LocalHome, id: string): Promise<AttemptEvent> {
  const change = { method: "POST", body: undefined, bodyBytes: 2_000_000 };
  return offer(home, id, change, (attempt) => {
    setImmediate(() => attempt.send(Buffer.alloc(1_000_000, "x")));
  });
}

test("a refusal while a body is sent counts for its call alone", async (t) => {
  for (const [id, word] of [["r-1", "not run"], ["r-0", "failed"]] as const) {
    let isClosed = () => {};
    const closed = new Promise<void>((resolve) => isClosed = resolve);
    const { home } = await homeOf(t, ({ socket }) => {
      socket.on("close", isClosed);
      socket.write(refusal(id));
    });
    assert.equal(wordOf(await offerLong(home, "r-1")), word);
    // What is left of the body must not be taken for the next call.
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
    let isClosed = () => {};
    const closed = new Promise<void>((resolve) => isClosed = resolve);
    const { home } = await homeOf(t, ({ socket }) => {
      socket.on("close", isClosed);
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
    assert.equal(wordOf(await offer(home, "r-1")), "not run");
    await closed;
  });
}
