/**
 * Simulates claim readers, nodes that request claims, and the log of claims.
 *
 * The test decides the order of deliveries, appends, reads and failures.
 * @module
 */
import assert from "node:assert/strict";
import {
  createClaimRequestState,
  decideClaimRequest,
} from "../idempotency/decide_claim_request.ts";
import {
  createClaimReaderState,
  decideClaimReader,
} from "../idempotency/decide_claim_reader.ts";
import { parseBatch } from "../idempotency/fold_batch.ts";
import type {
  IdempotencyMessage,
  RunOutcome,
} from "../idempotency/messages.ts";
import type {
  ClaimOutcome,
  ClaimReaderEffect,
  ClaimReaderEvent,
  ClaimReaderState,
  ClaimRequestEffect,
  ClaimRequestState,
} from "../idempotency/state.ts";

/** A run that a node started because its claim won. */
export interface ClaimedRun {
  readonly node: number;
  readonly key: string;
  readonly attempt: string;
  readonly offset: number;
  outcome: RunOutcome | "not-run" | undefined;
}

type SentMessage = { to: string; from: string; message: IdempotencyMessage };

/** Creates two readers, three nodes, a log and the messages between them. */
export function createClaimsSimulation() {
  let boots = 0;
  let now = 0;
  const bodies: string[] = [];
  let oldest = 1;
  let isOut = false;
  const inFlight: SentMessage[] = [];
  const runs: ClaimedRun[] = [];
  const repeats: { key: string; outcome: RunOutcome }[] = [];
  const notRun = new Set<string>();
  const appends: { reader: number; writer: string; body: string }[] = [];
  const readers: ClaimReaderState[] = [];
  const nodes: ClaimRequestState[] = [];
  const readerNames = ["r0", "r1"];
  const digest = "same";

  function startReader(index: number) {
    readers[index] = createClaimReaderState(`r${index}#${boots++}`);
    onReader(index, { type: "gone", oldest });
  }
  function startNode(index: number) {
    nodes[index] = createClaimRequestState(`n${index}#${boots++}`);
  }
  function onReader(index: number, event: ClaimReaderEvent) {
    const reader = readers[index]!;
    for (const effect of decideClaimReader(reader, event)) {
      handleReaderEffect(index, reader, effect);
    }
  }
  function handleReaderEffect(
    index: number,
    reader: ClaimReaderState,
    effect: ClaimReaderEffect,
  ) {
    const from = `r${index}`;
    if (effect.type === "append") {
      appends.push({
        reader: index,
        writer: reader.writer,
        body: effect.body,
      });
    } else if (effect.type === "send") {
      inFlight.push({ to: effect.to, from, message: effect.message });
    } else {
      const { to, attempt, key, offset } = effect;
      const item = parseBatch(bodies[offset - 1] ?? "").unwrapOr(undefined)
        ?.items.find((one) => one.type === "outcome" && one.key === key);
      assert.ok(item?.type === "outcome");
      const verdict = { type: "done", outcome: item.outcome } as const;
      const message = { type: "once/verdict", attempt, verdict } as const;
      inFlight.push({ to, from, message });
    }
  }
  function handleRequestEffects(
    index: number,
    effects: readonly ClaimRequestEffect[],
  ) {
    for (const effect of effects) {
      if (effect.type === "send") {
        const { to, message } = effect;
        inFlight.push({ to, from: `n${index}`, message });
      } else recordOutcome(index, effect.attempt, effect.outcome);
    }
  }
  function recordOutcome(index: number, attempt: string, out: ClaimOutcome) {
    const key = keyOf.get(attempt) ?? currentKey;
    if (out.type === "repeat") {
      repeats.push({ key, outcome: out.outcome });
    } else if (out.type === "run") {
      runs.push({
        node: index,
        key,
        attempt,
        offset: offsetOf(attempt),
        outcome: undefined,
      });
      checkRuns(key);
    } else if (out.isNotRun) notRun.add(attempt);
  }
  const keyOf = new Map<string, string>();
  let currentKey = "";
  const offsetOf = (attempt: string) =>
    1 +
    bodies.findIndex((body) =>
      JSON.parse(body).items.some((one: { type: string; attempt: string }) =>
        one.type === "claim" && one.attempt === attempt
      )
    );
  function checkRuns(key: string) {
    const ran = runs.filter((one) =>
      one.key === key && one.outcome !== "not-run" && one.offset >= oldest
    );
    assert.ok(ran.length <= 1, `${key} ran ${ran.length} times`);
  }
  function claim(index: number, key: string) {
    const node = nodes[index]!;
    currentKey = key;
    keyOf.set(`${node.writer}/${node.nextSeq}`, key);
    const deadlineAt = now + 2_000;
    handleRequestEffects(
      index,
      decideClaimRequest(node, {
        type: "asked",
        key,
        digest,
        deadlineAt,
        readers: readerNames,
        now,
      }),
    );
  }
  function deliver(pick: number, isDoubled: boolean) {
    if (inFlight.length === 0) return;
    const at = pick % inFlight.length;
    const sent = inFlight[at]!;
    if (!isDoubled) inFlight.splice(at, 1);
    else if (inFlight.length > 200) return;
    const index = Number(sent.to[1]);
    const { message, from } = sent;
    if (message.type === "once/claim" || message.type === "once/finish") {
      onReader(index, { type: "received", from, message, now });
    } else {
      const event = { type: "received", message, now } as const;
      handleRequestEffects(index, decideClaimRequest(nodes[index]!, event));
    }
  }
  /** Completes a pending append. Its reply may be lost after the write. */
  function completeAppend(pick: number, isReplyLost: boolean) {
    if (appends.length === 0) return;
    const [one] = appends.splice(pick % appends.length, 1);
    const isKept = !isOut;
    if (isKept) bodies.push(one!.body);
    if (readers[one!.reader]!.writer !== one!.writer) return;
    const isOk = isKept && !isReplyLost;
    onReader(
      one!.reader,
      isOk
        ? { type: "appended", now }
        : { type: "append-failed", now, random: 0.5 },
    );
  }
  function read(index: number) {
    const { next } = readers[index]!.claims;
    if (isOut) return;
    if (next < oldest) return onReader(index, { type: "gone", oldest });
    const records = bodies.slice(next - 1).map((body, i) => ({
      offset: next + i,
      body,
    }));
    onReader(index, { type: "read", records, oldest, now });
  }
  function endRun(pick: number, kind: number) {
    const open = runs.filter((one) => one.outcome === undefined);
    const run = open[pick % Math.max(1, open.length)];
    if (run === undefined) return;
    const outcome: RunOutcome | undefined = kind % 3 === 0
      ? undefined
      : kind % 3 === 1
      ? { type: "unknown" }
      : { type: "answered", status: 200, headers: {}, body: run.attempt };
    run.outcome = outcome ?? "not-run";
    const { attempt } = run;
    handleRequestEffects(
      run.node,
      decideClaimRequest(nodes[run.node]!, {
        type: "settled",
        attempt,
        outcome,
        readers: readerNames,
        now,
      }),
    );
  }
  function advance(ms: number) {
    now += ms;
    for (const index of readers.keys()) {
      onReader(index, { type: "ticked", now });
    }
    for (const [index, node] of nodes.entries()) {
      const event = { type: "ticked", readers: readerNames, now } as const;
      handleRequestEffects(index, decideClaimRequest(node, event));
    }
  }
  /** Ends the outage and delivers everything until no work is pending. */
  function deliverAll() {
    isOut = false;
    for (let round = 0; round < 60; round++) {
      advance(200);
      while (appends.length > 0) completeAppend(0, false);
      for (const index of readers.keys()) read(index);
      for (let left = inFlight.length; left > 0; left--) deliver(0, false);
    }
  }
  function keepNewest(count: number) {
    oldest = Math.max(oldest, bodies.length + 1 - count);
  }
  for (const index of [0, 1]) startReader(index);
  for (const index of [0, 1, 2]) startNode(index);
  return {
    runs,
    repeats,
    notRun,
    readers,
    nodes,
    claim,
    deliver,
    drop: (pick: number) =>
      inFlight.splice(pick % Math.max(1, inFlight.length), 1),
    completeAppend,
    read,
    endRun,
    advance,
    deliverAll,
    keepNewest,
    startReader,
    /**
     * Replaces a node by a new process. Runs that the old process started
     * continue at their home nodes (the nodes on the endpoints' VMs), but their
     * ends are not recorded.
     */
    startNode,
    toggleOutage: () => isOut = !isOut,
  };
}
