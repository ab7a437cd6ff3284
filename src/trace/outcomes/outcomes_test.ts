import { test } from "node:test";
import assert from "node:assert/strict";
import { createConfigState } from "../../config_log/create_config_state.ts";
import { createClaimRequestState } from "../../idempotency/decide_claim_request.ts";
import type { TracedDecision } from "../traced_decision.ts";
import { createCheck } from "./create_check.ts";
import { OutcomeName } from "./outcome.ts";

/** The fields of a decision that a check reads. */
type Part = Record<string, unknown>;

function isBroken(name: OutcomeName, parts: readonly Part[]): boolean {
  const check = createCheck(name);
  const base = { line: 1, node: "n", effects: [], state: {} };
  const findings = [
    ...parts.map((part) =>
      check.observe({ ...base, ...part } as unknown as TracedDecision)
    ),
    check.finishRecording?.(),
    check.finish?.(),
  ];
  return findings.some((one) => one?.type === "broken");
}

const config = createConfigState();
const swap = (version: number, more: Part = {}) => ({
  slice: "serving",
  event: { config, floor: 1, present: new Set() },
  effects: [{
    type: "swapped",
    config: { version, services: new Map(), inactive: new Set() },
  }],
  ...more,
});
const started = (endpoint: string) => ({
  slice: "admission",
  event: { type: "started", endpoint, isRun: true },
});
const draining = {
  slice: "membership",
  event: {
    type: "announced",
    announcement: { endpoint: "e", state: "draining" },
  },
};

test("lower version is a violation", () => {
  const name = OutcomeName.VersionNeverFalls;
  assert.equal(isBroken(name, [swap(3), swap(4)]), false);
  assert.equal(isBroken(name, [swap(4), swap(3)]), true);
});

test("accepted edit that is not served is a violation", () => {
  const name = OutcomeName.AcceptedEditInForce;
  const folded = { slice: "config", state: { ...config, version: 4 } };
  assert.equal(isBroken(name, [folded, swap(4)]), false);
  assert.equal(isBroken(name, [folded, swap(3)]), true);
});

test("refused edit that changes the state is a violation", () => {
  const name = OutcomeName.RefusedEditChangesNothing;
  const fold = (version: number, type: string) => ({
    slice: "config",
    state: { ...config, version },
    effects: [{ type }],
  });
  assert.equal(
    isBroken(name, [fold(1, "accepted"), fold(1, "refused")]),
    false,
  );
  assert.equal(isBroken(name, [fold(1, "accepted"), fold(2, "refused")]), true);
});

test("different digests at an offset are a violation", () => {
  const name = OutcomeName.DigestAgrees;
  const at = (digest: string) => ({
    slice: "config",
    state: { ...config, next: 2, digest },
  });
  assert.equal(isBroken(name, [at("a"), at("a")]), false);
  assert.equal(isBroken(name, [at("a"), at("b")]), true);
});

test("call at a draining endpoint is a violation", () => {
  const name = OutcomeName.DrainingGetsNoNewWork;
  assert.equal(isBroken(name, [draining, started("other")]), false);
  assert.equal(isBroken(name, [draining, started("e")]), true);
});

test("started call without an end is a violation", () => {
  const name = OutcomeName.StartedCallsEnd;
  const end = { slice: "admission", event: { type: "ended" } };
  assert.equal(isBroken(name, [started("e"), end]), false);
  assert.equal(isBroken(name, [started("e")]), true);
});

test("second run of a key is a violation", () => {
  const name = OutcomeName.AtMostOneRunPerKey;
  const run = (attempt: string) => {
    const state = createClaimRequestState("w");
    const claim = { key: "k" };
    state.attempts.set(attempt, { claim } as never);
    const effects = [{ type: "resolve", attempt, outcome: { type: "run" } }];
    return { slice: "ask", event: { type: "ticked" }, state, effects };
  };
  const release = {
    slice: "ask",
    event: { type: "settled", attempt: "a" },
    state: createClaimRequestState("w"),
  };
  assert.equal(isBroken(name, [run("a"), release, run("b")]), false);
  assert.equal(isBroken(name, [run("a"), run("b")]), true);
});

test("third crash of a request is a violation", () => {
  const name = OutcomeName.CrashesAtMostTwo;
  const crashes = (...ids: string[]) => ({
    slice: "quarantine",
    state: { suspects: new Map([["f", { row: { crashes: ids } }]]) },
  });
  assert.equal(isBroken(name, [crashes("1", "2")]), false);
  assert.equal(isBroken(name, [crashes("1", "2", "3")]), true);
});
