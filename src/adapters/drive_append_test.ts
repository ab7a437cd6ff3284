import { test } from "node:test";
import assert from "node:assert/strict";
import { err, ok } from "neverthrow";
import { createConfigState } from "../config_log/create_config_state.ts";
import { SETTLE_WITHIN_MS } from "../config_log/decide_append.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import type { ConfigRecord } from "../config_log/messages.ts";
import { createControlLoop, Priority } from "../control/create_control_loop.ts";
import { driveAppend } from "./drive_append.ts";
import type { LogClient } from "./log_client.ts";
import { NOOP_METRICS } from "./metrics.ts";
import { NOOP_RECORDER } from "../trace/create_recorder.ts";

const record: ConfigRecord = {
  kind: "reinstate",
  editor: "eva",
  service: "portaal",
  version: "v1",
};

function startDriver(isOut: boolean) {
  const loop = createControlLoop({ onError: assert.ifError, maxWaiting: 9 });
  const state = createConfigState();
  const bodies: string[] = [];
  let now = 0;
  const log = {
    append: (_stream: string, more: readonly string[]) => {
      const error = { code: "LAGOON_LOG_REFUSED", step: "", message: "" };
      if (isOut) return Promise.resolve(err(error));
      bodies.push(...more);
      return Promise.resolve(ok(1));
    },
  } as unknown as LogClient;
  const self = { id: "n1", domain: "a", region: "r", boot: "b" };
  const driver = driveAppend({
    context: {
      self,
      loop,
      now: () => now,
      metrics: NOOP_METRICS,
      recorder: NOOP_RECORDER,
      send: () => {},
    },
    log,
    config: () => state,
  });
  function foldAll() {
    for (const body of bodies.splice(0)) {
      const logged = { offset: state.next, body };
      driver.recordVerdict(logged, foldRecord({ state, record: logged }));
    }
  }
  return {
    driver,
    loop,
    foldAll,
    passTime: (ms: number) => {
      now += ms;
      driver.tick();
    },
  };
}

test("submitted record resolves with the fold's verdict", async () => {
  const { driver, loop, foldAll } = startDriver(false);
  const submitted = driver.submit(record);
  await loop.idle();
  foldAll();
  const outcome = await submitted;
  assert.equal(outcome.type, "refused");
});

test("submitted record is settled during a log outage", async () => {
  const { driver, loop, passTime } = startDriver(true);
  const submitted = driver.submit(record);
  await loop.idle();
  passTime(SETTLE_WITHIN_MS);
  assert.deepEqual(await submitted, {
    type: "unsettled",
    code: "LAGOON_APPEND_TIMEOUT",
    mayTakeEffect: true,
  });
});

test("submitted record is settled at shutdown", async () => {
  const { driver, loop } = startDriver(true);
  const sent = driver.submit(record);
  await loop.idle();
  let queued: ReturnType<typeof driver.submit> | undefined;
  // A record submitted from a loop event is queued behind that event.
  loop.post(Priority.Config, () => {
    queued = driver.submit(record);
    driver.close();
    loop.close();
  });
  const late = driver.submit(record);
  const outcomes = await Promise.all([sent, queued, late]);
  assert.deepEqual(
    outcomes.map((one) => one?.type === "unsettled" && one.mayTakeEffect),
    [true, false, false],
  );
});
