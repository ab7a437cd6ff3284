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

const members = ["0", "1", "2"];
const endpointsOfHome = 2;
const poison = "poison";

interface Running {
  readonly home: number;
  readonly endpoint: string;
  readonly call: number;
  readonly fingerprint: string;
}

interface Trial {
  readonly home: number;
  readonly endpoint: string;
  readonly fingerprint: string;
  isGranted: boolean;
}

/** Three homes of two endpoints each, and the messages between them. */
function createWorld() {
  let now = 0;
  let trials = 0;
  const letters: { to: string; from: string; message: QuarantineMessage }[] =
    [];
  const homes = members.map((id) => createQuarantineState(id, id));
  const running: Running[] = [];
  const waiting = new Map<string, Trial>();
  const totals = { poisonCrashes: 0, convicted: 0, ran: 0, news: 0 };

  function run(home: number, event: QuarantineEvent) {
    const effects = decideQuarantine(homes[home]!, event);
    for (const effect of effects) take(home, effect);
  }
  function take(home: number, effect: QuarantineEffect) {
    if (effect.type === "send") {
      const { to, message } = effect;
      letters.push({ to, from: String(home), message });
    } else if (effect.type === "told") totals.news--;
    else decide(effect);
  }
  function decide(effect: Extract<QuarantineEffect, { type: "resolve" }>) {
    const { trial, verdict } = effect;
    const one = waiting.get(trial)!;
    if (verdict.type === "convicted") {
      assert.equal(one.fingerprint, poison, "innocent convicted");
      totals.convicted++;
    }
    if (verdict.type === "run-alone") {
      one.isGranted = true;
      if (start(one, trial)) waiting.delete(trial);
    } else waiting.delete(trial);
    if (verdict.type === "run") send(one.home, one.endpoint, one.fingerprint);
  }
  function start(one: Omit<Trial, "isGranted">, trial: string): boolean {
    const { home, endpoint, fingerprint } = one;
    const state = homes[home]!;
    const began = beginCall({ state, endpoint, fingerprint, trial });
    if (began.type !== "started") return false;
    running.push({ home, endpoint, fingerprint, call: began.call });
    return true;
  }
  function send(home: number, endpoint: string, fingerprint: string) {
    const level = levelOf(homes[home]!, fingerprint);
    const isNew = fingerprint === poison && totals.news > 0;
    if (isNew || level === "convicted") return;
    if (level === "clear") {
      const isFirst = fingerprint !== poison ||
        running.every((one) => one.fingerprint !== poison);
      if (isFirst) start({ home, endpoint, fingerprint }, "");
      return;
    }
    const trial = `t${trials++}`;
    waiting.set(trial, { home, endpoint, fingerprint, isGranted: false });
    const deadlineAt = now + 500;
    run(home, {
      type: "trial-asked",
      fingerprint,
      trial,
      deadlineAt,
      members,
      now,
    });
  }
  function finish(pick: number) {
    const one = running[pick % Math.max(1, running.length)];
    if (one === undefined) return;
    const { home, endpoint, call } = one;
    if (one.fingerprint === poison) return crash(home, endpoint);
    running.splice(running.indexOf(one), 1);
    totals.ran++;
    const isWhole = true;
    run(home, { type: "ended", endpoint, call, isWhole, members, now });
    retry();
  }
  function crash(home: number, endpoint: string) {
    const lost = running.filter((one) => one.endpoint === endpoint);
    if (lost.some((one) => one.fingerprint === poison)) totals.poisonCrashes++;
    for (const one of lost) running.splice(running.indexOf(one), 1);
    totals.news++;
    run(home, { type: "crashed", endpoint, members, now });
    retry();
  }
  function retry() {
    for (const [trial, one] of waiting) {
      if (one.isGranted && start(one, trial)) waiting.delete(trial);
    }
  }
  function deliver(pick: number, isDoubled: boolean) {
    if (letters.length === 0) return;
    const at = pick % letters.length;
    const { to, from, message } = letters[at]!;
    if (!isDoubled) letters.splice(at, 1);
    run(Number(to), { type: "received", from, message, members, now });
  }
  /** News of a crash comes within the wait for it. */
  function deliverNews() {
    for (;;) {
      const at = letters.findIndex(({ message }) =>
        message.type === "quarantine/heard" ||
        (message.type === "quarantine/rows" && message.crash !== undefined)
      );
      if (at < 0) return;
      deliver(at, false);
    }
  }
  function pass(ms: number) {
    deliverNews();
    now += ms;
    for (const home of homes.keys()) {
      run(home, { type: "ticked", members, now });
    }
  }
  function calm() {
    for (let round = 0; round < 40; round++) {
      pass(30);
      for (let left = letters.length; left > 0; left--) deliver(0, false);
      while (running.length > 0) finish(0);
    }
  }
  const drop = (pick: number) => {
    const isNews = letters[pick % Math.max(1, letters.length)]?.message.type ===
      "quarantine/rows";
    if (!isNews) letters.splice(pick % Math.max(1, letters.length), 1);
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
    pass,
    calm,
    running,
  };
}

const at = (pick: number) => {
  const home = pick % members.length;
  return { home, endpoint: `${home}-${pick % endpointsOfHome}` };
};

const step = fc.tuple(fc.nat(9), fc.nat(97), fc.nat(6));

test("two crashes at most, innocents answered", () => {
  checkProperty(
    fc.property(
      fc.array(step, { minLength: 30, maxLength: 200 }),
      (steps) => {
        const world = createWorld();
        for (const [kind, pick, detail] of steps) {
          const { home, endpoint } = at(pick);
          if (kind < 2) world.send(home, endpoint, `i${detail}`);
          else if (kind < 4) world.send(home, endpoint, poison);
          else if (kind === 4) world.finish(pick);
          else if (kind < 7) world.deliver(pick, false);
          else if (kind === 7) world.deliver(pick, true);
          else if (kind === 8) world.drop(pick);
          else world.pass(detail * 10);
        }
        world.calm();
        assert.ok(world.totals.poisonCrashes <= 2);
        assert.equal(world.waiting.size, 0);
      },
    ),
    { runs: 500 },
  );
});

test("poison is convicted after two crashes", () => {
  const world = createWorld();
  for (let resend = 0; resend < 6; resend++) {
    world.send(resend % 3, `${resend % 3}-0`, poison);
    world.calm();
  }
  assert.equal(world.totals.poisonCrashes, 2);
  const levels = world.homes.map((home) => levelOf(home, poison));
  assert.deepEqual(levels, ["convicted", "convicted", "convicted"]);
});

test("innocents of a busy endpoint are cleared side by side", () => {
  const world = createWorld();
  const names = Array.from({ length: 20 }, (_, index) => `i${index}`);
  for (const name of names) world.send(0, "0-0", name);
  world.crash(0, "0-0");
  world.pass(0);
  names.forEach((name, index) => {
    const { home, endpoint } = at(index);
    world.send(home, endpoint, name);
  });
  world.calm();
  assert.equal(world.totals.ran, names.length);
  for (const name of names) {
    assert.equal(levelOf(world.homes[1]!, name), "clear");
  }
});

test("crash without calls convicts nobody", () => {
  const world = createWorld();
  world.crash(0, "0-0");
  assert.equal(world.homes[0]?.suspects.size, 0);
});

test("nothing starts beside a trial", () => {
  const state = createQuarantineState("0", "0");
  const begin = (fingerprint: string, trial: string) =>
    beginCall({ state, endpoint: "e", fingerprint, trial }).type;
  assert.equal(begin("a", ""), "started");
  assert.equal(begin("s", "t"), "occupied");
  assert.equal(begin("b", ""), "occupied");
});

test("late news does not suspect a cleared request", () => {
  const state = createQuarantineState("0", "0");
  const row = { fingerprint: "f", crashes: ["c"], excused: [] };
  mergeRow(state, { ...row, excused: ["c"] }, 0);
  mergeRow(state, row, 1);
  assert.equal(levelOf(state, "f"), "clear");
});

test("memory is bounded and keeps the convicted", () => {
  const state: QuarantineState = createQuarantineState("0", "0");
  const guilty = { fingerprint: poison, crashes: ["a", "b"], excused: [] };
  mergeRow(state, guilty, 0);
  for (let index = 0; index < MAX_SUSPECTS + 9; index++) {
    const fingerprint = `f${index}`;
    mergeRow(state, { fingerprint, crashes: ["c"], excused: [] }, 1);
  }
  assert.equal(state.suspects.size, MAX_SUSPECTS);
  assert.equal(levelOf(state, poison), "convicted");
});

test("entries expire", () => {
  const state = createQuarantineState("0", "0");
  mergeRow(state, { fingerprint: "f", crashes: ["c"], excused: [] }, 0);
  decideQuarantine(state, { type: "ticked", members, now: 9e9 });
  assert.equal(state.suspects.size, 0);
});
