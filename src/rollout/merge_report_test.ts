import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { createInbox, createOutbox } from "./create_track.ts";
import { countsOf } from "./count_call.ts";
import { makeReport } from "./make_report.ts";
import { mergeReport } from "./merge_report.ts";
import type { EvidenceReport } from "./messages.ts";
import { createRolloutState, type Evidence } from "./state.ts";

function reportsOf(source: string, calls: readonly number[]): EvidenceReport[] {
  let sum = 0;
  return calls.map((one, index) => ({
    rollout: "r",
    level: "node",
    source,
    seq: index + 1,
    domain: source.slice(0, 1),
    receiver: "reader",
    counts: [{
      side: "new",
      route: "accounts",
      calls: sum += one,
      failures: 0,
      overdue: 0,
      buckets: [sum],
    }],
  }));
}

test("sums do not depend on loss, repeats or order", () => {
  const calls = fc.array(fc.nat(50), { minLength: 1, maxLength: 6 });
  const property = fc.property(
    calls,
    calls,
    fc.nat(),
    (first, second, salt) => {
      const all = [reportsOf("a1", first), reportsOf("b1", second)];
      const newest = all.flatMap((reports) => reports.slice(-1));
      const kept = all.flat().filter((_, index) => (salt >> index) % 2 === 0);
      const mixed = [...kept, ...newest, ...kept].sort((a, b) =>
        (a.seq * 7 + salt) % 5 - (b.seq * 7 + salt) % 5
      );
      const inbox = createInbox();
      for (const report of mixed) mergeReport(inbox, report);
      const total = [...first, ...second].reduce((sum, one) => sum + one, 0);
      assert.equal(inbox.total.get("new accounts")?.calls, total);
    },
  );
  checkProperty(property, { runs: 300 });
});

test("a change of reader does not count calls twice", () => {
  const state = createRolloutState({ self: "n", domain: "d", boot: "b" });
  const outbox = createOutbox();
  const evidence: Evidence = new Map();
  const inboxes = [createInbox(), createInbox()];
  ["r1", "r1", "r2"].forEach((receiverId, index) => {
    countsOf(evidence, "new", "accounts").calls += 10;
    const report = makeReport({
      state,
      outbox,
      rolloutId: "r",
      level: "node",
      receiverId,
      evidence,
      now: index * 1_000,
    });
    assert.ok(report);
    mergeReport(inboxes[receiverId === "r1" ? 0 : 1] ?? createInbox(), report);
  });
  const sums = inboxes.map((one) => one.total.get("new accounts")?.calls);
  assert.deepEqual(sums, [20, 10]);
});

test("reports are sent each second, failures sooner", () => {
  const state = createRolloutState({ self: "n", domain: "d", boot: "b" });
  const outbox = createOutbox();
  const evidence: Evidence = new Map();
  const sentAt: number[] = [];
  for (let now = 0; now < 3_000; now += 250) {
    const counts = countsOf(evidence, "new", "accounts");
    counts.calls++;
    if (now === 1_250) counts.failures++;
    const options = {
      rolloutId: "r",
      level: "node",
      receiverId: "r1",
    } as const;
    if (makeReport({ ...options, state, outbox, evidence, now })) {
      sentAt.push(now);
    }
  }
  assert.deepEqual(sentAt, [0, 1_000, 1_250, 2_250]);
});
