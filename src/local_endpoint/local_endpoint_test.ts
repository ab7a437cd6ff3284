import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { pingOf, PROCESS_START } from "../testing/announced_instance.ts";
import { checkProperty } from "../testing/check_property.ts";
import { decideLocalEndpoint } from "./decide_local_endpoint.ts";
import {
  createLocalEndpointState,
  InstancePhase,
  type InstancePing,
} from "./state.ts";
import { stoppedInstances } from "./stopped_instances.ts";

function createState() {
  return createLocalEndpointState(PROCESS_START);
}

test("delayed ping does not bring back an endpoint that left", () => {
  const state = createState();
  decideLocalEndpoint(state, { type: "pinged", ping: pingOf({}), now: 0 });
  decideLocalEndpoint(state, { type: "left", id: "i-1", saidAt: 0 });
  const late = pingOf({ seq: 2 });
  const change = decideLocalEndpoint(state, {
    type: "pinged",
    ping: late,
    now: 9,
  });
  assert.equal(change.type, "none");
  assert.equal(state.current, undefined);
});

test("draining instance never becomes ready again", () => {
  const state = createState();
  const draining = pingOf({ seq: 5, phase: InstancePhase.Draining });
  decideLocalEndpoint(state, { type: "pinged", ping: draining, now: 0 });
  const again = pingOf({ seq: 6 });
  decideLocalEndpoint(state, { type: "pinged", ping: again, now: 1 });
  assert.equal(state.current?.phase, InstancePhase.Draining);
});

test("endpoint may restart with the same id and a new sequence of pings", () => {
  const state = createState();
  const first = pingOf({ seq: 50, phase: InstancePhase.Draining });
  decideLocalEndpoint(state, { type: "pinged", ping: first, now: 0 });
  const restarted = pingOf({ bornAt: 2_000, seq: 1 });
  const change = decideLocalEndpoint(state, {
    type: "pinged",
    ping: restarted,
    now: 1,
  });
  assert.equal(change.type, "started");
  assert.equal(state.current?.phase, InstancePhase.Ready);
});

test("instance that looks older replaces an unresponsive one", () => {
  const state = createState();
  const ping = (bornAt: number, now: number) =>
    decideLocalEndpoint(state, {
      type: "pinged",
      ping: pingOf({ bornAt }),
      now,
    });
  ping(9_000, 0);
  // The wall clock was set back, and the endpoint started again.
  assert.equal(ping(4_000, 2_000).type, "none");
  assert.equal(ping(4_000, 9_000).type, "none");
  assert.equal(ping(4_000, 11_000).type, "started");
  assert.equal(state.current?.bornAt, 4_000);
});

test("leave message of an unknown endpoint sets no current endpoint", () => {
  const state = createState();
  const left = { type: "left", id: "i-9", saidAt: 7 } as const;
  // A change, so that peers and the store are told of it.
  assert.equal(decideLocalEndpoint(state, left).type, "left");
  assert.equal(state.current, undefined);
  assert.deepEqual(stoppedInstances(state), [{ id: "i-9", bornAt: 7 }]);
});

test("newest ping of the latest instance is kept, in any order of receipt", () => {
  const pings = fc.array(
    fc.record({
      bornAt: fc.integer({ min: 1, max: 3 }),
      seq: fc.integer({ min: 1, max: 5 }),
    }),
    { minLength: 1 },
  );
  checkProperty(
    fc.property(pings, (all) => {
      const state = createState();
      for (const { bornAt, seq } of all) {
        const ping = pingOf({ id: `i-${bornAt}`, bornAt, seq });
        decideLocalEndpoint(state, { type: "pinged", ping, now: 0 });
      }
      const bornAt = Math.max(...all.map((one) => one.bornAt));
      const seq = Math.max(
        ...all.filter((one) => one.bornAt === bornAt).map((one) => one.seq),
      );
      assert.deepEqual(
        [state.current?.bornAt, state.current?.seq],
        [bornAt, seq],
      );
    }),
    { runs: 200 },
  );
});

test("instance that left during an earlier node process is not used again", () => {
  const state = createState();
  const gone = [{ id: "i-1", bornAt: 100 }];
  const recall = () =>
    decideLocalEndpoint(state, {
      type: "stopped-received",
      gone,
      isComplete: true,
    });
  const ping = (fields: Partial<InstancePing>) =>
    decideLocalEndpoint(state, {
      type: "pinged",
      ping: pingOf(fields),
      now: 0,
    });
  assert.equal(ping({ bornAt: 100 }).type, "started");
  assert.equal(recall().type, "left");
  assert.equal(ping({ bornAt: 100, seq: 9 }).type, "none");
  assert.equal(ping({ bornAt: 101 }).type, "started");
  assert.equal(recall().type, "none");
});

test("leave message that arrives before any ping ends its instance", () => {
  const state = createState();
  const ping = (fields: Partial<InstancePing>) =>
    decideLocalEndpoint(state, {
      type: "pinged",
      ping: pingOf(fields),
      now: 0,
    });
  decideLocalEndpoint(state, { type: "left", id: "i-1", saidAt: 2_000 });
  assert.equal(ping({ bornAt: 1_000 }).type, "none");
  assert.equal(ping({ bornAt: 2_001 }).type, "started");
});
