import { test } from "node:test";
import assert from "node:assert/strict";
import type { AttemptEvent } from "../calls/state.ts";
import type { NodeRow } from "../fleet/messages.ts";
import { ReaderStatus } from "../reader_election/state.ts";
import { pack } from "msgpackr";
import { offeredCall } from "../testing/offered_call.ts";
import { checkLink } from "./check_link.ts";
import { decodeMessage, encodeMessage } from "./encode_message.ts";
import { type LinkMessage, PROTOCOL_VERSION } from "./messages.ts";

const call = offeredCall({
  method: "POST",
  target: "/a/x?y=1",
  objectiveLeftMs: -5,
  mayBeLate: true,
  body: Buffer.from("body"),
  account: { name: "acme", urgency: 1, keyHash: 2 ** 40 + 1, tableVersion: 7 },
  parentUsedMs: 40,
  deadlineRatio: 6.5,
});
const report = {
  running: 1,
  waiting: 2,
  meanMs: 3.5,
  routeMs: 4.5,
  pacePercent: 250,
  startsLeft: 3,
};
const status = {
  report,
  operatorEnd: 12,
  readerStatus: ReaderStatus.Healthy,
  lagMs: 40,
};
const events: AttemptEvent[] = [
  { type: "admitted" },
  { type: "overdue" },
  { type: "refused", refusal: { by: "link", reason: "late", waitMs: 9 } },
  { type: "failed", failure: { reason: "reset", isTimeout: true, crashes: 2 } },
  {
    type: "answered",
    head: { status: 200, headers: ["A", "b"] },
    body: Buffer.from("answer"),
  },
  { type: "answered", head: { status: 200, headers: [] }, body: undefined },
  { type: "chunk", chunk: Buffer.from("part") },
  { type: "ended" },
];
const row: NodeRow = {
  node: "a:1",
  domain: "d1",
  life: "first",
  startedAt: 1_800_000_000_000,
  revision: 2,
  endpoint: { id: "i-1", service: "one", version: "v1", slots: 4, coldMs: 9 },
  gone: [{ id: "i-0", bornAt: 1_700_000_000_000 }],
};
const messages: LinkMessage[] = [
  { type: "offer", key: 1, call },
  { type: "offer", key: 2, call: { ...call, body: undefined, bodyBytes: 7 } },
  { type: "offer", key: 3, call: { ...call, account: undefined } },
  { type: "offer", key: 4, call: offeredCall() },
  { type: "body", key: 1, chunk: Buffer.from("more") },
  { type: "body-end", key: 1 },
  { type: "cancel", key: 1 },
  { type: "limit-answer", key: 1, leftMs: -4 },
  ...events.map((event) => ({
    type: "event" as const,
    key: 3,
    event,
    report,
    heldMs: 6,
    lagMs: 7,
  })),
  { type: "ping", ...status },
  { type: "pong", ...status, readerStatus: ReaderStatus.Idle },
  { type: "ask-operator", from: 7 },
  {
    type: "hello",
    protocol: PROTOCOL_VERSION,
    row: { ...row, endpoint: undefined, gone: [] },
    isNeighbor: true,
  },
  { type: "rows", rows: [row] },
  { type: "lost", notice: { node: "a:1", life: "first", revision: 2 } },
  {
    type: "digest",
    domains: [{ domain: "d1", count: 2, hash: 4_000_000_000 }],
    isAnswer: true,
  },
  {
    type: "beats",
    beats: [{
      node: "a:1",
      domain: "d1",
      startedAt: 1_800_000_000_000,
      seq: 3,
      readerStatus: ReaderStatus.Failing,
      end: 9,
    }],
  },
  {
    type: "operator",
    from: 3,
    end: 5,
    records: [
      { key: "a", value: Buffer.from("table") },
      { key: "b", value: undefined },
    ],
  },
  { type: "allowance/join", tier: "domain" },
  { type: "allowance/beat", tier: "node", stamp: 1.5 },
  {
    type: "allowance/lease",
    tier: "fleet",
    echo: 1.5,
    share: 0.25,
    termMs: 400,
    kept: [["a", 0.5]],
  },
  { type: "allowance/ask", tier: "domain", stamp: 2, account: "a", count: 3 },
  {
    type: "allowance/grant",
    tier: "node",
    echo: 2,
    account: "a",
    count: 3,
    lifeMs: 250.5,
    waitMs: 0,
    hasSpare: true,
  },
];

test("messages are decoded as they were encoded", () => {
  for (const message of messages) {
    assert.deepEqual(decodeMessage(encodeMessage(message)), message);
  }
});

test("malformed bytes are not decoded", () => {
  for (const bytes of ["", "{}", "\xc1"]) {
    assert.throws(() => decodeMessage(Buffer.from(bytes, "latin1")));
  }
});

test("malformed rows, notices, digests and beats are not decoded", () => {
  const malformed = [
    [9, PROTOCOL_VERSION, true, ["no address", "d1", "first", 0, 0, null, []]],
    [10, [["a:1", "d1", "first", "later", 0, null, []]]],
    [10, [["a:1", "d1", "first", 0, NaN, null, []]]],
    [10, [["a:1", "d1", "first", 0, 0, { service: "one" }, []]]],
    [10, { 0: "a:1" }],
    [11, "a:1", "first"],
    [12, false, [["d1", 1, null]]],
    [13, [["a:1", "d1", 0, 1, 7, 0]]],
    [7, { type: "rows", rows: [row] }],
    [7, null],
    [7, { type: "allowance/join", tier: "node" }],
    [7, { type: "allowance/beat", tier: "node", stamp: NaN }],
    [7, { type: "allowance/lease", tier: "fleet", echo: 1, share: 2 }],
    [7, {
      type: "allowance/ask",
      tier: "domain",
      stamp: 1,
      account: "a",
      count: -1,
    }],
  ];
  for (const fields of malformed) {
    assert.throws(() => decodeMessage(pack(fields)), JSON.stringify(fields));
  }
});

const idle = {
  hasCalls: false,
  exchangedAt: 0,
  lagMs: 0,
  idleMs: 2_000,
};

test("a link with calls is closed when a ping is not answered in time", () => {
  const health = {
    receivedAt: 0,
    pingedAt: -Infinity,
    lastPingAt: 0,
    peerLagMs: 0,
  };
  const check = (now: number, hasCalls = true) =>
    checkLink(health, { ...idle, hasCalls, now }).type;
  assert.equal(check(200), "wait");
  assert.equal(check(400, false), "wait");
  assert.equal(check(400), "ping");
  health.pingedAt = 400;
  assert.equal(check(1_000), "wait");
  assert.equal(check(1_300), "give-up");
  health.receivedAt = 1_300;
  assert.equal(check(1_400), "wait");
});

test("a link is kept while an answer may wait unread", () => {
  const health = {
    receivedAt: 0,
    pingedAt: 400,
    lastPingAt: 400,
    peerLagMs: 0,
  };
  const check = (lagMs: number) =>
    checkLink(health, { ...idle, lagMs, now: 1_300 }).type;
  assert.equal(check(0), "give-up");
  assert.equal(check(500), "wait");
});

test("a lagging peer gets more time to answer", () => {
  const check = (peerLagMs: number, now: number) => {
    const health = { receivedAt: 0, pingedAt: 400, lastPingAt: 400, peerLagMs };
    return checkLink(health, { ...idle, now }).type;
  };
  assert.equal(check(300, 1_700), "wait");
  assert.equal(check(300, 1_900), "give-up");
  assert.equal(check(60_000, 2_800), "give-up");
});

test("a pair of nodes exchanges one ping per period", () => {
  const health = {
    receivedAt: 0,
    pingedAt: -Infinity,
    lastPingAt: 0,
    peerLagMs: 0,
  };
  const check = (exchangedAt: number, now: number) =>
    checkLink(health, { ...idle, exchangedAt, now }).type;
  assert.equal(check(0, 2_100), "ping");
  assert.equal(check(1_000, 2_100), "wait");
  // Pings over the peer's link don't show that this link works, so it is pinged
  // too, in longer periods.
  assert.equal(check(9_000, 9_100), "ping");
});
