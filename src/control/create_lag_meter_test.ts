import { test } from "node:test";
import assert from "node:assert/strict";
import { createLagMeter } from "./create_lag_meter.ts";

test("lag shows within one long turn of the loop", () => {
  let now = 0;
  const meter = createLagMeter({ now: () => now });
  now = 40;
  assert.equal(meter.lagMs(), 0);
  now = 550;
  assert.equal(meter.lagMs(), 500);
  meter.close();
});
