import { test } from "node:test";
import assert from "node:assert/strict";
import { createLagMeter } from "./create_lag_meter.ts";

test("lag is measured within one long turn of the loop", () => {
  let now = 0;
  const meter = createLagMeter({ now: () => now });
  now = 40;
  assert.equal(meter.lagMs(), 0);
  now = 550;
  assert.equal(meter.lagMs(), 500);
  meter.close();
});

test("lag of the previous turn and of this one add up", (t) => {
  t.mock.timers.enable({ apis: ["setInterval"] });
  let now = 0;
  const meter = createLagMeter({ now: () => now });
  now = 850;
  t.mock.timers.tick(50);
  assert.equal(meter.lagMs(), 800);
  now = 1_600;
  assert.equal(meter.lagMs(), 1_500);
  meter.close();
});
