import { test } from "node:test";
import assert from "node:assert/strict";
import { createHash } from "node:crypto";
import { once } from "node:events";
import { request as rawRequest, type ServerResponse } from "node:http";
import { connect } from "node:net";
import { Readable } from "node:stream";
import { text } from "node:stream/consumers";
import { setTimeout as sleep } from "node:timers/promises";
import { request } from "undici";
import { EndpointState } from "../core/types.ts";
import {
  addEndpoint,
  type CallNode,
  startCallNode,
  startUpstream,
} from "../testing/start_call_node.ts";

const headers = { "lagoon-customer": "baker" };

/**
 * Starts an entry node and a home node (on the upstream's VM) with an upstream.
 */
async function startPair(
  t: Parameters<typeof startCallNode>[0],
  answer: Parameters<typeof startUpstream>[1],
  timeoutMs = 20_000,
) {
  const [entry, home] = await Promise.all([
    startCallNode(t, { timeoutMs }),
    startCallNode(t),
  ]);
  const endpoint = await startUpstream(t, answer);
  addEndpoint(home, endpoint, [entry, home]);
  return { entry, home, endpoint };
}

const get = (node: CallNode, path = "/portaal/once", extra = {}) =>
  request(node.url + path, { headers: { ...headers, ...extra } });

async function until(isTrue: () => boolean) {
  while (!isTrue()) await sleep(5);
}

/** Whether reading the answer fails, as for a truncated one. */
async function isTruncated(node: CallNode, path = "/portaal/once") {
  try {
    await (await get(node, path)).body.text();
    return false;
  } catch {
    return true;
  }
}

function* blocks(count: number) {
  for (let n = 0; n < count; n++) yield Buffer.alloc(64 * 1024, n);
}

test("large bodies are streamed completely in both directions", async (t) => {
  const { entry, home } = await startPair(t, (req, res) => {
    res.writeHead(200, { "x-length": req.headers["content-length"] ?? "none" });
    req.pipe(res);
  });
  const sent = createHash("sha256");
  for (const block of blocks(300)) sent.update(block);
  const sentDigest = sent.digest("hex");
  for (const node of [entry, home]) {
    const res = await request(`${node.url}/portaal/once`, {
      method: "PUT",
      headers: { ...headers, "content-length": String(300 * 64 * 1024) },
      body: Readable.from(blocks(300)),
    });
    const got = createHash("sha256");
    for await (const chunk of res.body) got.update(chunk);
    assert.equal(got.digest("hex"), sentDigest);
    assert.equal(res.headers["x-length"], String(300 * 64 * 1024));
  }
});

test("large body refused by one home node reaches the next", async (t) => {
  const { entry, home, endpoint } = await startPair(t, (req, res) => {
    req.pipe(res);
  });
  const full = await startCallNode(t);
  addEndpoint(full, endpoint, []);
  full.path.stop();
  // The home node that refuses announces more slots, so it is chosen first.
  entry.homes = [
    { home: full.id, slots: 100, readySince: 0 },
    { home: home.id, slots: 4, readySince: 0 },
  ];
  for (let n = 0; n < 4; n++) {
    const res = await request(`${entry.url}/portaal/once`, {
      method: "PUT",
      headers,
      body: Readable.from(blocks(20)),
    });
    assert.equal(res.statusCode, 200);
    assert.equal((await res.body.arrayBuffer()).byteLength, 20 * 64 * 1024);
  }
  assert.ok(entry.path.totals.retries > 0);
});

test("truncated answers are never received as complete", async (t) => {
  const truncatedAnswers: Record<string, string> = {
    "/head": "HTTP/1.1 200 OK\r\ncontent-le",
    "/length": "HTTP/1.1 200 OK\r\ncontent-length: 10\r\n\r\nabc",
    "/chunk": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n5\r\nab",
    "/last": "HTTP/1.1 200 OK\r\ntransfer-encoding: chunked\r\n\r\n2\r\nab\r\n",
    "/open": "HTTP/1.1 200 OK\r\n\r\nabc",
    "/none": "",
  };
  const { entry, home } = await startPair(t, (req, res) => {
    const answer = truncatedAnswers[(req.url ?? "").slice("/once".length)] ??
      "";
    res.socket?.end(answer);
  });
  for (const name of Object.keys(truncatedAnswers)) {
    for (const node of [entry, home]) {
      const path = `/portaal/once${name}`;
      const res = await get(node, path).catch(() => undefined);
      if (res === undefined || res.statusCode === 200) {
        assert.ok(res === undefined || await isTruncated(node, path), name);
        await res?.body.dump().catch(() => {});
        continue;
      }
      assert.equal(res.statusCode, 502, name);
      assert.equal(res.headers["lagoon-not-run"], undefined);
      await res.body.dump();
    }
  }
});

test("call to a hung upstream ends with an unknown outcome at the deadline", async (t) => {
  let isLeft = false;
  const { entry } = await startPair(t, (_req, res) => {
    res.on("close", () => isLeft = true);
  });
  const res = await get(entry, "/portaal/once", { "lagoon-deadline-ms": "80" });
  assert.equal(res.statusCode, 504);
  assert.equal(res.headers["lagoon-not-run"], undefined);
  await res.body.dump();
  await until(() => isLeft);
  assert.equal(entry.answers[0]?.outcome, "failed");
});

test("stall within an answer destroys the caller's connection", async (t) => {
  const { entry } = await startPair(t, (_req, res) => {
    res.writeHead(200, { "content-length": "9" });
    res.write("abc");
  }, 150);
  assert.ok(await isTruncated(entry));
});

test("overdue repeatable call is retried at another home node", async (t) => {
  let hangs = false;
  const { entry, home } = await startPair(t, (_req, res) => {
    if (!hangs) res.end("slow");
  });
  const other = await startCallNode(t);
  const fine = await startUpstream(t, (_req, res) => res.end("fine"));
  for (let n = 0; n < 40; n++) {
    await (await get(entry, "/portaal/again")).body.dump();
  }
  hangs = true;
  addEndpoint(other, fine, [entry]);
  await sleep(60);
  for (let n = 0; n < 20; n++) {
    const res = await get(entry, "/portaal/again");
    assert.equal(await res.body.text(), "fine");
  }
  assert.ok(entry.path.totals.retries > 0);
  assert.ok(entry.answers.some((one) => one.outcome === "failed"));
  const stuck = get(entry, "/portaal/once", { "lagoon-deadline-ms": "90" });
  await (await stuck).body.dump();
  assert.equal(home.path.totals.retries, 0);
});

test("two slow home nodes are not abandoned for each other", async (t) => {
  let delayMs = 0;
  const answer = async (_req: unknown, res: ServerResponse) => {
    await sleep(delayMs);
    res.end("slow");
  };
  const { entry } = await startPair(t, answer);
  const other = await startCallNode(t);
  addEndpoint(other, await startUpstream(t, answer), [entry]);
  for (let n = 0; n < 60; n++) {
    await (await get(entry, "/portaal/again")).body.dump();
  }
  delayMs = 400;
  for (let n = 0; n < 3; n++) {
    const res = await get(entry, "/portaal/again");
    assert.equal(await res.body.text(), "slow");
  }
  assert.ok(entry.path.totals.overdue > 0);
});

test("call is cancelled at the upstream when its caller disconnects", async (t) => {
  let began = 0;
  let left = 0;
  const { entry, home } = await startPair(t, (_req, res) => {
    began++;
    res.on("close", () => left++);
  });
  for (const node of [entry, home]) {
    const caller = rawRequest(`${node.url}/portaal/once`, { headers });
    caller.on("error", () => {});
    caller.end();
    await until(() => began > left);
    caller.destroy();
    await until(() => left === began);
  }
  await until(() => entry.path.totals.cancelled === 1);
});

test("a slow client gets the complete answer, and back-pressure slows the upstream", async (t) => {
  let written = 0;
  const { entry } = await startPair(t, (_req, res) => {
    Readable.from(blocks(1_000)).on("data", (one) => written += one.length)
      .pipe(res);
  });
  const res = await get(entry);
  await sleep(300);
  assert.ok(written < 40 * 1024 * 1024);
  assert.equal((await res.body.arrayBuffer()).byteLength, 1_000 * 64 * 1024);
});

test("drain finishes calls in flight and refuses new ones", async (t) => {
  let finish = () => {};
  const { entry, home, endpoint } = await startPair(t, (_req, res) => {
    finish = () => res.end("whole");
  });
  const first = get(entry);
  await until(() => home.path.totals.forwarded === 1);
  const own = home.own.get(endpoint);
  assert.ok(own !== undefined);
  const state = EndpointState.Draining;
  const announcement = { ...own.announcement, state };
  home.own.set(endpoint, { ...own, announcement });
  const second = await get(entry);
  assert.equal(second.statusCode, 503);
  assert.equal(second.headers["lagoon-not-run"], "true");
  assert.equal(second.headers["retry-after"], "1");
  await second.body.dump();
  finish();
  assert.equal(await (await first).body.text(), "whole");
});

test("graceful stop finishes calls in flight", async (t) => {
  let finish = () => {};
  const { home } = await startPair(t, (_req, res) => {
    finish = () => res.end("whole");
  });
  const first = get(home);
  await until(() => home.path.totals.calls === 1);
  await sleep(20);
  home.path.stop();
  const second = await get(home);
  assert.equal(second.headers["lagoon-not-run"], "true");
  assert.equal(second.headers.connection, "close");
  await second.body.dump();
  const idle = home.path.idle(60_000);
  const closed = home.calls.close(60_000);
  finish();
  const res = await first;
  assert.equal(res.headers.connection, "close");
  assert.equal(await res.body.text(), "whole");
  await Promise.all([idle, closed]);
});

test("graceful stop answers all requests of a connection", async (t) => {
  const held: (() => void)[] = [];
  const { home } = await startPair(t, (_req, res) => {
    held.push(() => res.end("whole"));
  });
  const { host, port } = new URL(home.url);
  const socket = connect(Number(port), "127.0.0.1");
  const one = `GET /portaal/once HTTP/1.1\r\nhost: ${host}\r\n` +
    "lagoon-customer: baker\r\n\r\n";
  socket.write(one + one);
  await until(() => held.length === 2);
  home.path.stop();
  for (const finish of held) finish();
  const answers = await text(socket);
  assert.equal(answers.split("HTTP/1.1 200").length - 1, 2);
});

test("call whose connection is refused is marked as not run", async (t) => {
  const home = await startCallNode(t);
  const entry = await startCallNode(t);
  addEndpoint(home, "127.0.0.1:1", [entry]);
  const res = await get(entry);
  assert.equal(res.statusCode, 503);
  assert.equal(res.headers["lagoon-not-run"], "true");
  assert.equal(res.headers["lagoon-reason"], "LAGOON_CALL_UNREACHABLE");
  await res.body.dump();
  entry.homes = [{ home: "127.0.0.1:1", slots: 4, readySince: 0 }];
  await sleep(60);
  const gone = await get(entry);
  assert.equal(gone.headers["lagoon-not-run"], "true");
  await gone.body.dump();
});

test("upstream runs one call per slot, further calls are marked as not run", async (t) => {
  let running = 0;
  let most = 0;
  const { entry, home, endpoint } = await startPair(t, async (_req, res) => {
    most = Math.max(most, ++running);
    await sleep(20);
    running--;
    res.end("x");
  });
  addEndpoint(home, endpoint, [], 3);
  const all = await Promise.all(Array.from({ length: 40 }, () => get(entry)));
  for (const res of all) await res.body.dump();
  const refused = all.filter((res) => res.statusCode === 503);
  assert.ok(refused.length > 0);
  for (const res of refused) {
    assert.equal(res.headers["lagoon-not-run"], "true");
  }
  assert.equal(most, 3);
});

test("gateway forwards a call only once", async (t) => {
  const { entry: gateway, home } = await startPair(t, (_req, res) => {
    res.end("there");
  });
  const entry = await startCallNode(t);
  entry.remotes = [
    { domain: "b", region: "r", slots: 4, gateways: [gateway.id] },
  ];
  const res = await get(entry);
  assert.equal(await res.body.text(), "there");
  assert.equal(entry.path.totals.answered, 1);
  assert.equal(entry.path.totals.cancelled, 0);
  home.own.clear();
  const lost = await get(entry);
  assert.equal(lost.headers["lagoon-not-run"], "true");
  await lost.body.dump();
});

test("call that may have run is never reported as not run", async (t) => {
  let runs = 0;
  const { entry } = await startPair(t, (_req, res) => {
    runs++;
    res.destroy();
  });
  const full = await startCallNode(t);
  full.path.stop();
  entry.homes = [{ home: full.id, slots: 4, readySince: 0 }, ...entry.homes];
  for (let n = 0; n < 20; n++) {
    const before = runs;
    const res = await get(entry, "/portaal/again");
    await res.body.dump();
    const isNotRun = res.headers["lagoon-not-run"] === "true";
    assert.equal(isNotRun, runs === before);
  }
  assert.ok(runs > 0 && entry.path.totals.retries > 0);
});

test("repeatable call is retried after its upstream crashed", async (t) => {
  const { entry } = await startPair(t, (_req, res) => {
    res.destroy();
  });
  const other = await startCallNode(t);
  const fine = await startUpstream(t, (_req, res) => res.end("fine"));
  addEndpoint(other, fine, [entry]);
  for (let n = 0; n < 8; n++) {
    const res = await get(entry, "/portaal/again");
    assert.equal(await res.body.text(), "fine");
  }
});

test("forged internal headers are stripped in both directions", async (t) => {
  let seen: Record<string, unknown> = {};
  const { entry, home } = await startPair(t, (req, res) => {
    seen = req.headers;
    res.writeHead(503, { "lagoon-not-run": "true", "x-own": "1" });
    res.end("busy");
  });
  for (const node of [entry, home]) {
    const sent = rawRequest(`${node.url}/portaal/once`, {
      headers: {
        ...headers,
        "lagoon-version": "v9",
        "lagoon-hops": "9",
        "lagoon-plan": "gold",
        "proxy-authorization": "Bearer k",
        connection: "close, x-dropped",
        "x-dropped": "1",
      },
    });
    const [res] = await once(sent.end(), "response");
    assert.equal(res.headers["lagoon-not-run"], undefined);
    assert.equal(res.headers["x-own"], "1");
    res.resume();
    const names = Object.keys(seen).filter((one) => one.startsWith("lagoon-"));
    assert.deepEqual(names.sort(), ["lagoon-customer", "lagoon-deadline-ms"]);
    assert.equal(seen["x-dropped"], undefined);
    assert.equal(seen["proxy-authorization"], undefined);
  }
});

test("malformed input is refused and does not affect other calls", async (t) => {
  const { entry } = await startPair(t, (_req, res) => res.end("fine"));
  const { port } = new URL(entry.url);
  const send = async (text: string) => {
    const socket = connect(Number(port), "127.0.0.1");
    socket.write(text);
    const [first] = await once(socket, "data");
    socket.destroy();
    return String(first).slice(9, 12);
  };
  const line = "GET /portaal/once HTTP/1.1\r\nhost: a\r\nconnection: close\r\n";
  const named = `${line}lagoon-customer: baker\r\n`;
  assert.equal(await send("nonsense\r\n\r\n"), "400");
  const bomb = `x: ${"y".repeat(900)}\r\n`.repeat(30);
  assert.equal(await send(`${named}${bomb}\r\n`), "431");
  assert.equal(await send(`${named}lagoon-deadline-ms: -4\r\n\r\n`), "400");
  const key = "k".repeat(300);
  assert.equal(await send(`${named}idempotency-key: ${key}\r\n\r\n`), "400");
  assert.equal(await send(`${line}\r\n`), "400");
  const traversal = named.replace("/once", "/once/%2e%2e/admin");
  assert.equal(await send(`${traversal}\r\n`), "400");
  assert.equal(await send(`${named}\r\n`), "200");
  assert.equal(await (await get(entry)).body.text(), "fine");
});
