import { type AddressInfo, createServer, type Socket } from "node:net";
import { test, type TestContext } from "node:test";
import assert from "node:assert/strict";
import {
  type Attempt,
  type AttemptEvent,
  type OfferedCall,
  RefusedBy,
} from "../calls/state.ts";
import { RefusalReason } from "../queue/state.ts";
import type { LocalHome, SuspectRecords } from "./create_home.ts";
import { ANNOUNCED_INSTANCE } from "../testing/announced_instance.ts";
import {
  createTestHome,
  type CreateTestHomeOptions,
} from "../testing/create_test_home.ts";
import { offeredCall } from "../testing/offered_call.ts";
import type { Run } from "../traffic_shift/count_run.ts";

const call = offeredCall({ mayBeLate: true });

type HomeOptions = Omit<CreateTestHomeOptions, "address">;

function nextTurn(): Promise<void> {
  return new Promise((resolve) => setImmediate(resolve));
}

/** Starts an endpoint that answers through `serve`, and its home node. */
async function startHome(
  t: TestContext,
  serve: (socket: Socket, chunk: Buffer) => void,
  opts: HomeOptions = {},
) {
  const server = createServer((socket) => {
    socket.on("error", () => {});
    socket.on("data", (chunk: Buffer) => serve(socket, chunk));
  });
  await new Promise<void>((resolve) =>
    server.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = server.address() as AddressInfo;
  const home = createTestHome(t, { address: `127.0.0.1:${port}`, ...opts });
  t.after(() => server.close());
  return { home, server };
}

function attemptCall(
  home: Awaited<ReturnType<typeof startHome>>["home"],
  change: Partial<OfferedCall> = {},
): Promise<AttemptEvent> {
  return new Promise((resolve) => {
    home.attempt({ ...call, ...change }, (event) => {
      if (event.type !== "admitted" && event.type !== "overdue") resolve(event);
    });
  });
}

const head = (fields: string) => `HTTP/1.1 200 OK\r\n${fields}\r\n\r\n`;

test("an answer with a length is forwarded complete", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.write(head("call-id: r-1\r\ncontent-length: 4") + "body");
  });
  const event = await attemptCall(home);
  assert.equal(event.type === "answered" && String(event.body), "body");
});

test("an answer without a length is complete at a normal close", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.end(head("call-id: r-1") + "body");
  });
  const event = await attemptCall(home);
  assert.equal(event.type === "answered" && String(event.body), "body");
});

test("an answer without a length fails on a reset", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.write(head("call-id: r-1") + "bo");
    // The home node has to read the bytes before the reset discards them.
    setTimeout(() => socket.resetAndDestroy(), 50);
  });
  const event = await attemptCall(home);
  assert.equal(event.type, "failed");
});

test("a reset together with the last bytes is not a normal close", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.write(head("call-id: r-1") + "bo", () => socket.resetAndDestroy());
  });
  assert.equal((await attemptCall(home)).type, "failed");
});

test("an answer shorter than its length fails", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.end(head("call-id: r-1\r\ncontent-length: 9") + "body");
  });
  assert.equal((await attemptCall(home)).type, "failed");
});

test("an answer to another call is never forwarded", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.write(head("call-id: r-0\r\ncontent-length: 4") + "body");
  });
  assert.equal((await attemptCall(home)).type, "failed");
});

test("a second answer is not attributed to the next call", async (t) => {
  const { home } = await startHome(t, (socket) => {
    const answer = head("call-id: r-1\r\ncontent-length: 4") + "body";
    socket.write(answer + answer);
  });
  assert.equal((await attemptCall(home)).type, "answered");
  const second = await attemptCall(home, {
    id: "r-2",
    headers: ["host", "shop.example", "call-id", "r-2"],
  });
  assert.equal(second.type, "failed");
});

test("a not-run answer from the endpoint ends the attempt as refused", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.write(
      "HTTP/1.1 503 Full\r\ncall-id: r-1\r\nnot-run: 1\r\n" +
        "content-length: 0\r\n\r\n",
    );
  });
  const event = await attemptCall(home);
  assert.equal(event.type === "refused" && event.refusal.by, "endpoint");
});

test("a call is refused when the endpoint accepts no connection", async (t) => {
  const { home, server } = await startHome(t, () => {});
  await new Promise((resolve) => server.close(resolve));
  const event = await attemptCall(home);
  assert.equal(event.type === "refused" && event.refusal.by, "home");
});

test("a withdrawn call closes the endpoint's connection", async (t) => {
  let closed: () => void;
  const isClosed = new Promise<void>((resolve) => closed = resolve);
  const { home } = await startHome(t, (socket) => {
    socket.on("close", () => closed());
  });
  const attempt = home.attempt(call, (event) => {
    if (event.type === "admitted") setTimeout(() => attempt.cancel(), 20);
  });
  await isClosed;
});

test("run whose nested call failed reports it", async (t) => {
  const runs: Run[] = [];
  const { home } = await startHome(t, (socket) => {
    home.recordNestedFailure("r-1");
    home.recordNestedFailure("r-9");
    socket.write(
      "HTTP/1.1 500 Failed\r\ncall-id: r-1\r\ncontent-length: 0\r\n\r\n",
    );
  }, { onRun: (run) => runs.push(run) });
  await attemptCall(home);
  assert.deepEqual(
    runs.map(({ isFailed, hasNestedFailure }) => ({
      isFailed,
      hasNestedFailure,
    })),
    [{ isFailed: true, hasNestedFailure: true }],
  );
});

// A nested call whose parent was sent twice to the home node, and withdrawn
// once, got 503: its parent was no longer known to run.
test("a call stays known while one with its id is withdrawn", async (t) => {
  let requests = 0;
  const { home } = await startHome(t, () => void requests++);
  const first = home.attempt(call, () => {});
  home.attempt(call, () => {});
  while (requests < 2) await nextTurn();
  first.cancel();
  assert.ok(home.isRunning(call.id));
});

test("a run that times out counts for the version that ran it", async (t) => {
  const runs: Run[] = [];
  const { home } = await startHome(t, () => {
    home.setInstance({ ...ANNOUNCED_INSTANCE, bornAt: 1, version: "v2" }, "");
  }, { onRun: (run) => runs.push(run) });
  assert.equal(
    (await attemptCall(home, { leftMs: 400, objectiveLeftMs: 100 })).type,
    "failed",
  );
  assert.deepEqual(runs.map(({ version }) => version), ["v1"]);
});

/** Writes `first`, then `next` repeatedly while the other side reads. */
function flood(socket: Socket, first: string, next: Buffer) {
  let isOpen = true;
  socket.on("close", () => isOpen = false);
  const write = () => {
    while (isOpen && socket.write(next));
    if (isOpen) socket.once("drain", write);
  };
  socket.write(first, write);
}

for (
  const [name, first, next] of [
    ["a response that is not HTTP", "", Buffer.alloc(65_536, "x")],
    ["a head", "HTTP/1.1 200 OK\r\n", Buffer.from("a: b\r\n".repeat(10_000))],
    [
      "informational responses",
      "",
      Buffer.from("HTTP/1.1 103 Hint\r\n\r\n".repeat(3_000)),
    ],
    [
      "a body without a length",
      head("call-id: r-1"),
      Buffer.alloc(65_536, "x"),
    ],
    [
      "a body in chunks",
      head("call-id: r-1\r\ntransfer-encoding: chunked"),
      Buffer.from(`ffff\r\n${"x".repeat(65_535)}\r\n`),
    ],
  ] as const
) {
  test(`${name} without end is aborted`, async (t) => {
    let closed: () => void;
    const isClosed = new Promise<void>((resolve) => closed = resolve);
    const { home } = await startHome(t, (socket) => {
      socket.on("close", () => closed());
      flood(socket, first, next);
    });
    let bytes = 0;
    const failed = new Promise<string>((resolve) => {
      home.attempt({ ...call, leftMs: 60_000 }, (event) => {
        if (event.type === "chunk") bytes += event.chunk.length;
        if (event.type === "failed") resolve(event.failure.reason);
      });
    });
    assert.ok(await failed);
    await isClosed;
    assert.ok(bytes <= 16 * 1024 * 1024, `${bytes} bytes`);
  });
}

test("a call for another service is not run", async (t) => {
  let requests = 0;
  const { home } = await startHome(t, (socket) => {
    requests++;
    socket.write(head("call-id: r-1\r\ncontent-length: 4") + "body");
  });
  for (const change of [{ service: "two" }, { version: "v2" }]) {
    const event = await attemptCall(home, change);
    assert.equal(event.type, "refused");
    if (event.type === "refused") {
      assert.deepEqual(event.refusal.by, RefusedBy.Home);
      assert.equal(event.refusal.reason, RefusalReason.Misdirected);
    }
  }
  assert.equal(requests, 0);
  assert.equal((await attemptCall(home)).type, "answered");
});

test("a waiting call is not run by an endpoint of another service", async (t) => {
  const served: string[] = [];
  const { home } = await startHome(t, (socket) => {
    served.push("run");
    setTimeout(() => socket.destroy(), 100);
  });
  home.setInstance({ ...ANNOUNCED_INSTANCE, slots: 1 }, "");
  const running = attemptCall(home);
  const waiting = attemptCall(home, { id: "r-2" });
  while (served.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  home.setInstance({
    ...ANNOUNCED_INSTANCE,
    id: "i-2",
    service: "two",
    bornAt: 1,
  }, "");
  const event = await waiting;
  assert.equal(event.type, "refused");
  assert.equal((await running).type, "failed");
  assert.equal(served.length, 1);
});

test("a body that is being received does not hold a slot", async (t) => {
  const { home } = await startHome(t, (socket) => {
    socket.write(head("call-id: r-1\r\ncontent-length: 4") + "body");
  });
  home.setInstance({ ...ANNOUNCED_INSTANCE, slots: 1 }, "");
  const upload = { id: "r-2", method: "POST", body: undefined, bodyBytes: 6 };
  const events: string[] = [];
  let attempt: Attempt | undefined;
  await new Promise<void>((resolve) => {
    attempt = home.attempt({ ...call, ...upload }, (event) => {
      events.push(event.type);
      if (event.type === "admitted") resolve();
    });
  });
  attempt?.send(Buffer.from("pho"));
  assert.equal((await attemptCall(home)).type, "answered");
  assert.deepEqual(events, ["admitted"]);
});

test("a buffered body reaches the endpoint complete", async (t) => {
  let received = "";
  const { home } = await startHome(t, (socket, chunk) => {
    received += chunk.toString();
    if (received.endsWith("photo!")) {
      socket.write(head("call-id: r-1\r\ncontent-length: 4") + "body");
    }
  });
  const upload = { method: "POST", body: undefined, bodyBytes: 6 };
  const ended = new Promise<AttemptEvent>((resolve) => {
    const attempt = home.attempt({ ...call, ...upload }, (event) => {
      if (event.type !== "admitted") return resolve(event);
      attempt.send(Buffer.from("pho"));
      attempt.send(Buffer.from("to!"));
      attempt.finish();
    });
  });
  assert.equal((await ended).type, "answered");
  assert.match(received, /content-length: 6\r\n/i);
  assert.ok(received.endsWith("\r\n\r\nphoto!"));
});

test("a call does not wait behind a body that the endpoint does not read", async (t) => {
  const seen = new Set<Socket>();
  const { home } = await startHome(t, (socket, chunk) => {
    if (seen.has(socket)) return;
    seen.add(socket);
    const [, id] = /call-id: (\S+)/.exec(chunk.toString()) ?? [];
    socket.write(head(`call-id: ${id}\r\ncontent-length: 4`) + "body");
    if (id === "r-1") socket.pause();
  });
  // More bytes than the socket buffers of a loopback connection hold.
  const photo = Buffer.alloc(32_000_000);
  const upload = { method: "POST", body: photo, bodyBytes: photo.length };
  assert.equal((await attemptCall(home, upload)).type, "answered");
  const headers = ["host", "shop.example", "call-id", "r-2"];
  const times = { leftMs: 1_000, objectiveLeftMs: 1_000 };
  const next = await attemptCall(home, { id: "r-2", headers, ...times });
  assert.equal(next.type, "answered");
});

test("a call whose body never arrives is refused without a run", async (t) => {
  const { home } = await startHome(t, () => assert.fail("it has run"));
  const times = { leftMs: 60, objectiveLeftMs: 60 };
  const upload = { body: undefined, bodyBytes: 6, ...times };
  const events: AttemptEvent[] = [];
  await new Promise<void>((resolve) => {
    home.attempt({ ...call, ...upload }, (event) => {
      events.push(event);
      if (event.type === "refused") resolve();
    });
  });
  assert.deepEqual(events.map(({ type }) => type), ["admitted", "refused"]);
  assert.equal(home.isBusy(), false);
});

test("a body that would get its upload slot too late is refused immediately", async (t) => {
  let at = 0;
  const { home } = await startHome(t, (socket) => {
    socket.write(head("call-id: r-1\r\ncontent-length: 4") + "body");
  }, { now: () => at });
  const upload = { method: "POST", body: undefined, bodyBytes: 6 };
  const attemptUpload = () => {
    const events: AttemptEvent[] = [];
    const change = {
      ...call,
      ...upload,
      leftMs: 1_900,
      objectiveLeftMs: 1_900,
    };
    const attempt = home.attempt(change, (event) => events.push(event));
    return { attempt, events };
  };
  const first = attemptUpload();
  while (first.events.length < 1) await nextTurn();
  at = 1_000;
  first.attempt.send(Buffer.from("photo!"));
  while (first.events.length < 2) await nextTurn();
  t.mock.timers.enable({ apis: ["setTimeout"] });
  const coming = [1, 2, 3].map(attemptUpload);
  const waiting = [1, 2, 3, 4, 5].map(attemptUpload);
  const last = attemptUpload();
  // The home node queues calls in the turn of the event loop after `attempt`.
  for (let turns = 0; turns < 3; turns++) await nextTurn();
  const outcomes = [...coming, ...waiting, last].map(({ events }) =>
    events.map((event) =>
      event.type === "refused" ? event.refusal.reason : event.type
    ).join()
  );
  const late = RefusalReason.NoTime;
  assert.deepEqual(outcomes, [
    ...["admitted", "admitted", "admitted"],
    ...["", "", "", "", "", late],
  ]);
});

/** Attempts a call and lists its events. */
function listEvents(home: LocalHome, change: Partial<OfferedCall>) {
  const events: AttemptEvent[] = [];
  const attempt = home.attempt(
    { ...call, ...change },
    (event) => events.push(event),
  );
  return { attempt, events };
}

// Their callers' connections were cut, or they got 502 for a call not run.
test("calls that have not started are refused before a node ends", async (t) => {
  t.mock.timers.enable({ apis: ["setTimeout"] });
  let at = 0;
  const { home } = await startHome(t, () => {}, { now: () => at });
  home.setInstance({ ...ANNOUNCED_INSTANCE, slots: 1 }, "");
  const times = { leftMs: 60_000, objectiveLeftMs: 60_000 };
  const running = listEvents(home, { ...times, id: "r-1" });
  const waiting = listEvents(home, { ...times, id: "r-2" });
  const upload = { ...times, body: undefined, bodyBytes: 6 };
  const uploading = listEvents(home, { ...upload, id: "r-3" });
  for (let turns = 0; turns < 3; turns++) await nextTurn();
  const late = listEvents(home, { ...times, id: "r-4" });
  for (const { attempt } of [running, waiting, uploading, late]) {
    attempt.limitAnswer(2_000);
  }
  await nextTurn();
  at = 2_000;
  t.mock.timers.tick(2_000);
  assert.deepEqual(running.events.map(({ type }) => type), ["admitted"]);
  for (const { events } of [waiting, uploading, late]) {
    const last = events.at(-1);
    assert.ok(last?.type === "refused");
    assert.equal(last.refusal.reason, RefusalReason.NoTime);
  }
  home.limitAnswers(at);
  const next = listEvents(home, { ...times, id: "r-5" });
  await nextTurn();
  assert.equal(next.events.at(-1)?.type, "refused");
});

test("memory for bodies that wait for a slot is limited", async (t) => {
  const { home } = await startHome(t, () => {});
  home.setInstance({ ...ANNOUNCED_INSTANCE, slots: 1 }, "");
  const photo = Buffer.alloc(1_000_000);
  const upload = { method: "POST", body: undefined, bodyBytes: photo.length };
  let admitted = 0;
  const attempts = Array.from({ length: 24 }, (_, index) => {
    const attempt = home.attempt(
      { ...call, ...upload, id: `r-${index}` },
      ({ type }) => {
        if (type !== "admitted") return;
        admitted++;
        attempt.send(photo);
      },
    );
    return attempt;
  });
  for (let turns = 0; turns < 3; turns++) await nextTurn();
  // One call runs, and the bodies of the others hold at most 16 MiB.
  assert.equal(admitted, 17);
  for (const attempt of attempts) attempt.cancel();
  assert.equal(home.isBusy(), false);
  assert.equal(home.report().waiting, 0);
});

test("a call is refused when an instance of another service replaces its endpoint during the upload", async (t) => {
  const { home } = await startHome(t, () => assert.fail("it has run"));
  const upload = { body: undefined, bodyBytes: 6 };
  const next = { ...ANNOUNCED_INSTANCE, id: "i-2", service: "two", bornAt: 1 };
  const refusal = await new Promise<AttemptEvent>((resolve) => {
    const attempt = home.attempt({ ...call, ...upload }, (event) => {
      if (event.type !== "admitted") return resolve(event);
      home.setInstance(next, "");
      attempt.send(Buffer.from("photo!"));
    });
  });
  assert.equal(refusal.type, "refused");
});

test("an endpoint that restarts with the same id gets new connections", async (t) => {
  const sockets: Socket[] = [];
  const { home } = await startHome(t, (socket) => {
    sockets.push(socket);
    const id = `call-id: r-${sockets.length}`;
    socket.write(head(`${id}\r\ncontent-length: 4`) + "body");
  });
  const expectAnswer = async (id: string) => {
    const headers = ["host", "shop.example", "call-id", id];
    assert.equal((await attemptCall(home, { id, headers })).type, "answered");
    // A connection is used again only from the turn after an answer.
    await new Promise((resolve) => setTimeout(resolve, 20));
  };
  await expectAnswer("r-1");
  home.setInstance({ ...ANNOUNCED_INSTANCE, seq: 2 }, "");
  await expectAnswer("r-2");
  assert.equal(sockets[1], sockets[0]);
  home.setInstance({ ...ANNOUNCED_INSTANCE, bornAt: 1 }, "");
  await expectAnswer("r-3");
  assert.notEqual(sockets[2], sockets[0]);
});

/** Records of suspects that remember what the home reports. */
function recordSuspects(counts: Record<string, number> = {}) {
  const crashed: { id: string; crashes: number }[] = [];
  const suspects: SuspectRecords = {
    crashesOf: ({ target }) => counts[target] ?? 0,
    recordCrash: (runs) =>
      void crashed.push(
        ...runs.map(({ call, crashes }) => ({ id: call.id, crashes })),
      ),
    recordAnswer: () => {},
  };
  return { suspects, crashed };
}

// A request that crashed its endpoint was sent to the next one as any other.
test("crash is recorded with all that the endpoint ran", async (t) => {
  const { suspects, crashed } = recordSuspects({ "/b": 1 });
  const sockets: Socket[] = [];
  const { home, server } = await startHome(t, (socket) => {
    sockets.push(socket);
    if (sockets.length < 2) return;
    server.close();
    for (const one of sockets) one.destroy();
  }, { suspects });
  const known: number[] = [];
  const run = async (change: Partial<OfferedCall>) => {
    const event = await attemptCall(home, change);
    known.push(crashed.length);
    return event.type === "failed" ? event.failure.crashes : event.type;
  };
  const one = run({ id: "r-1", crashes: 0 });
  const two = run({ id: "r-2", target: "/b", crashes: 0 });
  assert.deepEqual(await Promise.all([one, two]), [1, 2]);
  const ids = crashed.map(({ id, crashes }) => `${id} ${crashes}`).sort();
  assert.deepEqual(ids, ["r-1 0", "r-2 1"]);
  // The crash is recorded before a caller can send its call elsewhere.
  assert.deepEqual(known, [2, 2]);
});

test("connection that a running endpoint closes is no crash", async (t) => {
  const { suspects, crashed } = recordSuspects();
  const { home } = await startHome(t, (socket) => socket.destroy(), {
    suspects,
  });
  const event = await attemptCall(home);
  assert.equal(event.type === "failed" && event.failure.crashes, 0);
  assert.deepEqual(crashed, []);
});

test("endpoint that announced its stop ends without a crash", async (t) => {
  const { suspects, crashed } = recordSuspects();
  const { home, server } = await startHome(t, (socket) => {
    home.setInstance(undefined, "the endpoint is leaving");
    server.close();
    socket.destroy();
  }, { suspects });
  const event = await attemptCall(home);
  assert.equal(event.type === "failed" && event.failure.crashes, 0);
  assert.deepEqual(crashed, []);
});

test("request that crashed three endpoints is not run", async (t) => {
  const { suspects } = recordSuspects({ "/bad": 3 });
  let received = 0;
  const { home } = await startHome(t, () => void received++, { suspects });
  const byRecord = await attemptCall(home, { target: "/bad" });
  const byCaller = await attemptCall(home, { crashes: 3 });
  for (const event of [byRecord, byCaller]) {
    assert.equal(event.type, "refused");
    assert.equal(event.refusal.reason, RefusalReason.Quarantined);
  }
  assert.equal(received, 0);
});

test("pace in an answer or a refusal reaches the queue's reports", async (t) => {
  let status = "200 OK";
  let pace = 250;
  const { home } = await startHome(t, (socket) => {
    const fields = `call-id: r-1\r\npace-percent: ${pace}`;
    socket.write(
      `HTTP/1.1 ${status}\r\n${fields}\r\ncontent-length: 0\r\n\r\n`,
    );
  }, { now: () => 0 });
  assert.equal(home.report().pacePercent, undefined);
  await attemptCall(home);
  assert.equal(home.report("a").pacePercent, 250);
  pace = 180;
  status = "503 Service Unavailable\r\nnot-run: yes";
  const event = await attemptCall(home);
  assert.equal(event.type, "refused");
  assert.equal(home.report().pacePercent, 180);
});
