import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { checkProperty } from "../testing/check_property.ts";
import { buildRing } from "./build_ring.ts";
import { decideBroadcast } from "./decide_broadcast.ts";
import type { OverlayMessage } from "./messages.ts";
import {
  ACK_TIMEOUT_MS,
  type BroadcastEvent,
  type BroadcastState,
  createBroadcastState,
  MAX_SEND_ATTEMPTS,
} from "./state.ts";

type Inner = string;

interface Sent {
  readonly from: string;
  readonly to: string;
  readonly message: OverlayMessage<Inner>;
}

/** Members on one ring. Those in `dead` receive nothing but stay on it. */
function createMembers(count: number) {
  const ids = Array.from({ length: count }, (_, index) => `n:${index}`);
  const ring = buildRing(ids);
  const states = new Map<string, BroadcastState<Inner>>(
    ids.map((id) => [id, createBroadcastState<Inner>(id, "boot")]),
  );
  const dead = new Set<string>();
  const lost = { next: (_sent: Sent) => false };
  const got = new Map<string, number>();
  const sent = { count: 0, most: 0 };
  let queue: Sent[] = [];
  let now = 0;

  function run(id: string, event: BroadcastEvent<Inner>) {
    const state = states.get(id);
    assert.ok(state);
    const effects = decideBroadcast(state, event);
    sent.most = Math.max(sent.most, effects.length);
    for (const effect of effects) {
      if (effect.type === "deliver") got.set(id, (got.get(id) ?? 0) + 1);
      else queue.push({ from: id, to: effect.to, message: effect.message });
    }
  }

  function deliver() {
    for (let one = queue.shift(); one !== undefined; one = queue.shift()) {
      sent.count++;
      if (dead.has(one.to) || lost.next(one)) continue;
      const { from, message } = one;
      run(one.to, { type: "received", from, message, ring, now });
    }
  }

  return {
    ids,
    dead,
    lost,
    got,
    sent,
    states,
    start(id: string) {
      run(id, { type: "started", message: "hold", ring, now });
      deliver();
    },
    replay(copy: Sent) {
      queue = [copy];
      deliver();
    },
    tick() {
      now += ACK_TIMEOUT_MS;
      for (const id of ids) {
        if (!dead.has(id)) run(id, { type: "ticked", ring, now });
      }
      deliver();
    },
    isKnownToAll: (origin: string) =>
      ids.every((id) => id === origin || dead.has(id) || got.has(id)),
  };
}

test("a broadcast reaches each member once", () => {
  const members = createMembers(310);
  members.start("n:7");
  assert.equal(members.got.size, 309);
  assert.ok([...members.got.values()].every((times) => times === 1));
  assert.equal(members.sent.count, 2 * 309);
  assert.ok(members.sent.most <= 11);
  assert.ok(
    [...members.states.values()].every((one) => one.unconfirmed.size === 0),
  );
});

test("a broadcast reaches all live members past undetected dead ones", () => {
  const some = fc.record({
    origin: fc.nat(309),
    dead: fc.uniqueArray(fc.nat(309), { minLength: 8, maxLength: 15 }),
  });
  checkProperty(
    fc.property(some, ({ origin, dead }) => {
      const members = createMembers(310);
      const id = `n:${origin}`;
      for (const one of dead) {
        if (one !== origin) members.dead.add(`n:${one}`);
      }
      members.start(id);
      for (let tick = 0; tick < 4; tick++) members.tick();
      assert.ok(members.isKnownToAll(id));
      assert.ok([...members.got.values()].every((times) => times === 1));
    }),
    { runs: 40 },
  );
});

test("lost broadcasts and acks are sent again", () => {
  checkProperty(
    fc.property(fc.array(fc.boolean(), { maxLength: 200 }), (losses) => {
      const members = createMembers(40);
      const left = [...losses];
      const lost = new Map<string, number>();
      members.lost.next = ({ to, message }) => {
        const key = `${to} ${message.type}`;
        const times = lost.get(key) ?? 0;
        if (times >= MAX_SEND_ATTEMPTS - 1 || left.pop() !== true) return false;
        lost.set(key, times + 1);
        return true;
      };
      members.start("n:0");
      for (let tick = 0; tick < 12; tick++) members.tick();
      assert.ok(members.isKnownToAll("n:0"));
      assert.ok([...members.got.values()].every((times) => times === 1));
    }),
    { runs: 60 },
  );
});

test("sends to an unresponsive peer are limited", () => {
  const members = createMembers(2);
  members.dead.add("n:1");
  members.start("n:0");
  for (let tick = 0; tick < 10; tick++) members.tick();
  assert.equal(members.sent.count, MAX_SEND_ATTEMPTS);
  assert.equal(members.states.get("n:0")?.unconfirmed.size, 0);
});

test("a range that ends at its start is empty", () => {
  const members = createMembers(5);
  const message = {
    type: "overlay/broadcast",
    id: "x",
    origin: "n:0",
    until: "n:1",
    message: "hold",
  } as const;
  members.replay({ from: "n:0", to: "n:1", message });
  assert.equal(members.got.size, 1);
});
