import { test } from "node:test";
import assert from "node:assert/strict";
import { createMetrics } from "./create_metrics.ts";
import {
  createWorkMeter,
  Duty,
  MessageDirection,
} from "./create_work_meter.ts";

test("runs are counted by version and result", async () => {
  const metrics = createMetrics({ meter: createWorkMeter({ now: () => 0 }) });
  const run = {
    service: "one",
    version: "v2",
    route: "a",
    hasNestedFailure: false,
    tookMs: 60,
  };
  metrics.countVersionRun({ ...run, isFailed: false });
  metrics.countVersionRun({ ...run, isFailed: true });
  metrics.countVersionRun({ ...run, isFailed: true });
  const text = await metrics.text();
  const labels = 'service="one",version="v2"';
  assert.ok(
    text.includes(`lagoon_version_runs_total{${labels},result="served"} 1`),
  );
  assert.ok(
    text.includes(`lagoon_version_runs_total{${labels},result="failed"} 2`),
  );
});

test("work metrics are current at each scrape", async () => {
  let now = 0;
  const meter = createWorkMeter({ now: () => now });
  const metrics = createMetrics({ meter });
  for (let scrapes = 1; scrapes <= 2; scrapes++) {
    const work = meter.begin();
    now += 500;
    meter.endMessage(work, MessageDirection.Sent, "ping", 10);
    meter.addMs(Duty.Timers, 250);
    const text = await metrics.text();
    const labels = '{type="ping",way="sent"}';
    assert.ok(text.includes(`lagoon_link_messages_total${labels} ${scrapes}`));
    assert.ok(
      text.includes(`lagoon_link_seconds_total${labels} ${scrapes * 0.5}`),
    );
    assert.ok(
      text.includes(
        `lagoon_work_seconds_total{duty="timers"} ${scrapes * 0.25}`,
      ),
    );
  }
});

test("calls that the queue refused are counted by route and reason", async () => {
  const metrics = createMetrics({ meter: createWorkMeter({ now: () => 0 }) });
  metrics.countShed("/photos/", "displaced", false);
  const labels = '{route="/photos/",reason="displaced",over_share="no"}';
  const text = await metrics.text();
  assert.ok(text.includes(`lagoon_shed_calls_total${labels} 1`));
});
