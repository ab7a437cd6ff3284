import { test } from "node:test";
import assert from "node:assert/strict";
import { LATENCY_EDGES_MS, type RolloutMessage } from "../rollout/messages.ts";
import type { IdempotencyMessage } from "../idempotency/messages.ts";
import type { QuarantineMessage } from "../quarantine/messages.ts";
import { parsePeerMessage } from "./peer_message.ts";

type Fields = Readonly<Record<string, unknown>>;

const rollout = "portaal/v2#7";
const report = {
  rollout,
  level: "node",
  source: "n:1/boot/node/0",
  seq: 3,
  domain: "zone-a",
  receiver: "n:2/boot",
  counts: [{
    side: "new",
    route: "GET /pages",
    calls: 4,
    failures: 1,
    overdue: 0,
    buckets: Array.from({ length: LATENCY_EDGES_MS.length + 1 }, () => 0),
  }],
} as const;
const rolloutMessages: readonly RolloutMessage[] = [
  { type: "rollout/evidence", report },
  { type: "rollout/hold", rollout, origin: "n:1", reason: "r" },
  { type: "rollout/held", rollout, origin: "n:1" },
  {
    type: "rollout/held",
    rollout,
    origin: "n:1",
    shown: {
      domain: "d1",
      finding: {
        route: "*",
        measure: "errors",
        calls: 2,
        bad: 1,
        oldCalls: 9,
        oldBad: 0,
        score: 12.5,
      },
    },
  },
  { type: "rollout/release", rollout, term: 1, isProbed: true },
  { type: "rollout/leading", rollout, term: 1 },
];

const [key, attempt, digest] = ["k", "a", "d"];
const outcome = { type: "answered", status: 200, headers: { a: "b" } } as const;
const claim = { type: "claim", key, attempt, digest, leftMs: 1 } as const;
const idempotencyMessages: readonly IdempotencyMessage[] = [
  { type: "once/claim", claim },
  { type: "once/verdict", attempt, verdict: { type: "won" } },
  { type: "once/verdict", attempt, verdict: { type: "held", isLive: true } },
  { type: "once/verdict", attempt, verdict: { type: "done", outcome } },
  { type: "once/verdict", attempt, verdict: { type: "mismatch" } },
  { type: "once/verdict", attempt, verdict: { type: "away", reason: "" } },
  { type: "once/finish", item: { type: "outcome", key, attempt, outcome } },
  {
    type: "once/finish",
    item: { type: "outcome", key, attempt, outcome: { type: "unknown" } },
  },
  { type: "once/finish", item: { type: "release", key, attempt } },
  { type: "once/finished", attempt },
];

const [fingerprint, trial] = ["f", "t"];
const row = { fingerprint, crashes: ["c"], excused: [] } as const;
const quarantineMessages: readonly QuarantineMessage[] = [
  { type: "quarantine/rows", rows: [row] },
  { type: "quarantine/rows", rows: [row], crash: "c" },
  { type: "quarantine/heard", crash: "c" },
  { type: "quarantine/ask", fingerprint, trial, leftMs: 50 },
  { type: "quarantine/answer", trial, isGranted: true, row },
  { type: "quarantine/over", fingerprint, trial, row },
];

function assertKnown(messages: readonly Fields[]) {
  for (const message of messages) {
    const parsed = parsePeerMessage("n:1", message);
    assert.deepEqual(parsed._unsafeUnwrap(), message);
    // A message without a field is refused, and the error names the field.
    for (const field of Object.keys(message)) {
      if (field === "type" || field === "crash") continue;
      const bad = { ...message, [field]: undefined };
      assertRefused(bad, new RegExp(`^${field}: `));
    }
    assertRefused({ ...message, extra: 1 }, /^extra: /);
  }
}

function assertRefused(message: Fields, named: RegExp) {
  const refused = parsePeerMessage("n:1", message)._unsafeUnwrapErr();
  assert.equal(refused.code, "LAGOON_PEER_MESSAGE_MALFORMED");
  assert.equal(refused.peer, "n:1");
  assert.match(refused.message, named);
}

const many = (length: number, one: unknown) =>
  Array.from({ length }, () => one);

test("rollout messages are validated", () => {
  assertKnown(rolloutMessages);
  const evidence = (fields: Fields) => ({
    type: "rollout/evidence",
    report: { ...report, ...fields },
  });
  assertRefused(evidence({ seq: "3" }), /^report.seq: /);
  const counts = many(2_001, report.counts[0]);
  assertRefused(evidence({ counts }), /^report.counts: /);
  const [first] = report.counts;
  const short = [{ ...first, buckets: [1] }];
  assertRefused(evidence({ counts: short }), /^report.counts.0.buckets: /);
  const negative = [{ ...first, calls: -1 }];
  assertRefused(evidence({ counts: negative }), /^report.counts.0.calls: /);
  const [, hold] = rolloutMessages;
  assertRefused({ ...hold, rollout: "x".repeat(1_025) }, /^rollout: /);
  assertRefused({ ...hold, reason: "x".repeat(4_097) }, /^reason: /);
});

test("idempotency messages are validated", () => {
  assertKnown(idempotencyMessages);
  const done = (fields: Fields) => ({
    type: "once/verdict",
    attempt,
    verdict: { type: "done", outcome: { ...outcome, ...fields } },
  });
  const body = "x".repeat(22_000);
  assertRefused(done({ body }), /^verdict.outcome.body: /);
  assertRefused(done({ status: 1_000 }), /^verdict.outcome.status: /);
  const headers = Object.fromEntries(
    Array.from({ length: 101 }, (_, index) => [`h${index}`, ""]),
  );
  assertRefused(done({ headers }), /^verdict.outcome.headers: /);
  const long = { ...claim, key: "x".repeat(257) };
  assertRefused({ type: "once/claim", claim: long }, /^claim.key: /);
});

test("quarantine messages are validated", () => {
  assertKnown(quarantineMessages);
  const rows = (all: unknown) => ({ type: "quarantine/rows", rows: all });
  assertRefused(rows(many(4_097, row)), /^rows: /);
  const tooMany = { ...row, crashes: many(1_025, "c") };
  assertRefused(rows([tooMany]), /^rows.0.crashes: /);
  const long = { ...row, fingerprint: "x".repeat(513) };
  assertRefused(rows([long]), /^rows.0.fingerprint: /);
});

test("broadcast and its inner message are validated", () => {
  const [, hold] = rolloutMessages;
  const id = "n:1/boot/0";
  const broadcast = (message: unknown) => ({
    type: "overlay/broadcast",
    id,
    origin: "n:1",
    until: null,
    message,
  });
  assertKnown([broadcast(hold), { type: "overlay/ack", id }]);
  assertRefused(broadcast({ ...hold, origin: 1 }), /^origin: /);
  assertRefused(broadcast(broadcast(hold)), /^message: /);
});
