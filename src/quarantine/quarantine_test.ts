import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { beginCall } from "./begin_call.ts";
import { decideQuarantine } from "./decide_quarantine.ts";
import { levelOf, MAX_SUSPECTS, mergeRow } from "./merge_row.ts";
import type { QuarantineMessage } from "./messages.ts";
import {
  createQuarantineState,
  type QuarantineEffect,
  type QuarantineEvent,
  type QuarantineState,
} from "./state.ts";

const MEMBERS = ["0", "1", "2"];
const ENDPOINTS_PER_HOME = 2;

/** Fingerprint of the only request that crashes its endpoint. */
const POISON = "poison";

interface Running {
  readonly home: number;
  readonly endpoint: string;
  readonly call: number;
  readonly fingerprint: string;
}

interface WaitingCall {
  readonly home: number;
  readonly endpoint: string;
  readonly fingerprint: string;
  isGranted: boolean;
}

/**
 * Simulates three home nodes (each on the VM of its two endpoints) and the
 * messages between them.
 */
function createSimulation() {
  let now = 0;
  let trialCount = 0;
  const messages: { to: string; from: string; message: QuarantineMessage }[] =
    [];
  const homes = MEMBERS.map((id) => createQuarantineState(id, id));
  const running: Running[] = [];
  const waiting = new Map<string, WaitingCall>();
  const totals = {
    poisonCrashes: 0,
    quarantined: 0,
    ran: 0,
    pendingUpdates: 0,
  };

  function run(home: number, event: QuarantineEvent) {
    const effects = decideQuarantine(homes[home]!, event);
    for (const effect of effects) applyEffect(home, effect);
  }
  function applyEffect(home: number, effect: QuarantineEffect) {
    if (effect.type === "send") {
      const { to, message } = effect;
      messages.push({ to, from: String(home), message });
    } else if (effect.type === "told") totals.pendingUpdates--;
    else decide(effect);
  }
  function decide(effect: Extract<QuarantineEffect, { type: "resolve" }>) {
    const { trial, verdict } = effect;
    const one = waiting.get(trial)!;
    if (verdict.type === "convicted") {
      assert.equal(
        one.fingerprint,
        POISON,
        "request that never crashes is quarantined",
      );
      totals.quarantined++;
    }
    if (verdict.type === "run-alone") {
      one.isGranted = true;
      if (start(one, trial)) waiting.delete(trial);
    } else waiting.delete(trial);
    if (verdict.type === "run") send(one.home, one.endpoint, one.fingerprint);
  }
  function start(one: Omit<WaitingCall, "isGranted">, trial: string): boolean {
    const { home, endpoint, fingerprint } = one;
    const state = homes[home]!;
    const began = beginCall({ state, endpoint, fingerprint, trial });
    if (began.type !== "started") return false;
    running.push({ home, endpoint, fingerprint, call: began.call });
    return true;
  }
  function send(home: number, endpoint: string, fingerprint: string) {
    const level = levelOf(homes[home]!, fingerprint);
    const hasPendingUpdate = fingerprint === POISON &&
      totals.pendingUpdates > 0;
    if (hasPendingUpdate || level === "convicted") return;
    if (level === "clear") {
      const isFirst = fingerprint !== POISON ||
        running.every((one) => one.fingerprint !== POISON);
      if (isFirst) start({ home, endpoint, fingerprint }, "");
      return;
    }
    const trial = `t${trialCount++}`;
    waiting.set(trial, { home, endpoint, fingerprint, isGranted: false });
    const deadlineAt = now + 500;
    run(home, {
      type: "trial-asked",
      fingerprint,
      trial,
      deadlineAt,
      members: MEMBERS,
      now,
    });
  }
  function finish(pick: number) {
    const one = running[pick % Math.max(1, running.length)];
    if (one === undefined) return;
    const { home, endpoint, call } = one;
    if (one.fingerprint === POISON) return crash(home, endpoint);
    running.splice(running.indexOf(one), 1);
    totals.ran++;
    const isWhole = true;
    run(home, {
      type: "ended",
      endpoint,
      call,
      isWhole,
      members: MEMBERS,
      now,
    });
    retry();
  }
  function crash(home: number, endpoint: string) {
    const lost = running.filter((one) => one.endpoint === endpoint);
    if (lost.some((one) => one.fingerprint === POISON)) totals.poisonCrashes++;
    for (const one of lost) running.splice(running.indexOf(one), 1);
    totals.pendingUpdates++;
    run(home, { type: "crashed", endpoint, members: MEMBERS, now });
    retry();
  }
  function retry() {
    for (const [trial, one] of waiting) {
      if (one.isGranted && start(one, trial)) waiting.delete(trial);
    }
  }
  function deliver(pick: number, isDuplicate: boolean) {
    if (messages.length === 0) return;
    const at = pick % messages.length;
    const { to, from, message } = messages[at]!;
    if (!isDuplicate) messages.splice(at, 1);
    run(Number(to), { type: "received", from, message, members: MEMBERS, now });
  }
  /** Delivers crash updates and confirmations before their wait ends. */
  function deliverUpdates() {
    for (;;) {
      const at = messages.findIndex(({ message }) =>
        message.type === "quarantine/heard" ||
        (message.type === "quarantine/rows" && message.crash !== undefined)
      );
      if (at < 0) return;
      deliver(at, false);
    }
  }
  function advance(ms: number) {
    deliverUpdates();
    now += ms;
    for (const home of homes.keys()) {
      run(home, { type: "ticked", members: MEMBERS, now });
    }
  }
  function settle() {
    for (let round = 0; round < 40; round++) {
      advance(30);
      for (let left = messages.length; left > 0; left--) deliver(0, false);
      while (running.length > 0) finish(0);
    }
  }
  const drop = (pick: number) => {
    const isUpdate =
      messages[pick % Math.max(1, messages.length)]?.message.type ===
        "quarantine/rows";
    if (!isUpdate) messages.splice(pick % Math.max(1, messages.length), 1);
  };
  return {
    homes,
    totals,
    waiting,
    send,
    finish,
    crash,
    deliver,
    drop,
    advance,
    settle,
    running,
  };
}

const at = (pick: number) => {
  const home = pick % MEMBERS.length;
  return { home, endpoint: `${home}-${pick % ENDPOINTS_PER_HOME}` };
};

const step = fc.tuple(fc.nat(9), fc.nat(97), fc.nat(6));

test("request crashes at most two endpoints, and no call waits forever", () => {
  checkProperty(
    fc.property(
      fc.array(step, { minLength: 30, maxLength: 200 }),
      (steps) => {
        const simulation = createSimulation();
        for (const [kind, pick, detail] of steps) {
          const { home, endpoint } = at(pick);
          if (kind < 2) simulation.send(home, endpoint, `i${detail}`);
          else if (kind < 4) simulation.send(home, endpoint, POISON);
          else if (kind === 4) simulation.finish(pick);
          else if (kind < 7) simulation.deliver(pick, false);
          else if (kind === 7) simulation.deliver(pick, true);
          else if (kind === 8) simulation.drop(pick);
          else simulation.advance(detail * 10);
        }
        simulation.settle();
        assert.ok(simulation.totals.poisonCrashes <= 2);
        assert.equal(simulation.waiting.size, 0);
      },
    ),
    { runs: 500 },
  );
});

test("crashing request is quarantined after two crashes", () => {
  const simulation = createSimulation();
  for (let resend = 0; resend < 6; resend++) {
    simulation.send(resend % 3, `${resend % 3}-0`, POISON);
    simulation.settle();
  }
  assert.equal(simulation.totals.poisonCrashes, 2);
  const levels = simulation.homes.map((home) => levelOf(home, POISON));
  assert.deepEqual(levels, ["convicted", "convicted", "convicted"]);
});

test("suspects of one crash are cleared in parallel", () => {
  const simulation = createSimulation();
  const names = Array.from({ length: 20 }, (_, index) => `i${index}`);
  for (const name of names) simulation.send(0, "0-0", name);
  simulation.crash(0, "0-0");
  simulation.advance(0);
  names.forEach((name, index) => {
    const { home, endpoint } = at(index);
    simulation.send(home, endpoint, name);
  });
  simulation.settle();
  assert.equal(simulation.totals.ran, names.length);
  for (const name of names) {
    assert.equal(levelOf(simulation.homes[1]!, name), "clear");
  }
});

test("crash without calls in flight does not add a suspect", () => {
  const simulation = createSimulation();
  simulation.crash(0, "0-0");
  assert.equal(simulation.homes[0]?.suspects.size, 0);
});

test("no call starts while an isolated run waits for its endpoint", () => {
  const state = createQuarantineState("0", "0");
  const begin = (fingerprint: string, trial: string) =>
    beginCall({ state, endpoint: "e", fingerprint, trial }).type;
  assert.equal(begin("a", ""), "started");
  assert.equal(begin("s", "t"), "occupied");
  assert.equal(begin("b", ""), "occupied");
});

test("late crash update does not suspect a cleared request", () => {
  const state = createQuarantineState("0", "0");
  const row = { fingerprint: "f", crashes: ["c"], excused: [] };
  mergeRow(state, { ...row, excused: ["c"] }, 0);
  mergeRow(state, row, 1);
  assert.equal(levelOf(state, "f"), "clear");
});

test("rows of quarantined requests are kept when the limit of rows is reached", () => {
  const state: QuarantineState = createQuarantineState("0", "0");
  const quarantined = { fingerprint: POISON, crashes: ["a", "b"], excused: [] };
  mergeRow(state, quarantined, 0);
  for (let index = 0; index < MAX_SUSPECTS + 9; index++) {
    const fingerprint = `f${index}`;
    mergeRow(state, { fingerprint, crashes: ["c"], excused: [] }, 1);
  }
  assert.equal(state.suspects.size, MAX_SUSPECTS);
  assert.equal(levelOf(state, POISON), "convicted");
});

test("rows expire", () => {
  const state = createQuarantineState("0", "0");
  mergeRow(state, { fingerprint: "f", crashes: ["c"], excused: [] }, 0);
  decideQuarantine(state, { type: "ticked", members: MEMBERS, now: 9e9 });
  assert.equal(state.suspects.size, 0);
});
