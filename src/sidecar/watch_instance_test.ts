import { test } from "node:test";
import assert from "node:assert/strict";
import { ok } from "neverthrow";
import { InstancePhase } from "../local_endpoint/state.ts";
import { PROCESS_START } from "../testing/announced_instance.ts";
import { createTestHome } from "../testing/create_test_home.ts";
import { watchInstance } from "./watch_instance.ts";

// Guards against a home node that takes the endpoint for warm because it has
// become cold again without a new start.
test("ping of the same start makes the endpoint cold again", (t) => {
  const address = "127.0.0.1:9";
  let now = 5_000;
  const home = createTestHome(t, { address, now: () => now });
  home.setTerms({
    maxConnections: 10,
    healthCheckPath: "/health",
    coldPerSecond: 3,
  });
  now += 1_000;
  let seq = 0;
  const watch = watchInstance({
    decodePing: (id, body) =>
      ok({
        id,
        bornAt: 1,
        seq: ++seq,
        service: "one",
        address,
        version: "v1",
        slots: 2,
        phase: InstancePhase.Ready,
        coldMs: Number(body.toString()),
      }),
    service: "one",
    address,
    start: PROCESS_START,
    home,
    log: { write: () => {}, close: () => {} },
    now: () => now,
    wall: () => now,
    onEndpoint: () => {},
    onStopped: () => Promise.resolve(),
  });
  watch.ping("i-1", Buffer.from("0"));
  assert.equal(home.report().startsLeft, undefined);
  watch.ping("i-1", Buffer.from("4000"));
  assert.equal(home.report().startsLeft, 3);
  now += 4_000;
  assert.equal(home.report().startsLeft, undefined);
});
