import { test } from "node:test";
import assert from "node:assert/strict";
import { createSocket } from "node:dgram";
import { once } from "node:events";
import { createMetrics } from "./create_metrics.ts";
import { MetricName, NOOP_METRICS } from "./metrics.ts";

const from = { domain: "zone-a", node: "n1" };

test("metrics reach the StatsD server", async (t) => {
  const server = createSocket("udp4");
  t.after(() => server.close());
  server.bind(0, "127.0.0.1");
  await once(server, "listening");
  const address = `127.0.0.1:${server.address().port}`;
  const metrics = await createMetrics({ address, ...from });
  const received = once(server, "message");
  metrics.count(MetricName.Verdicts, 1, { kind: "accepted" });
  metrics.gauge(MetricName.Applied, 7);
  await metrics.close();
  const [text] = await received;
  assert.match(String(text), /lagoon\.verdicts:1\|c\|#.*domain:zone-a/);
  assert.match(String(text), /lagoon\.applied_version:7\|g/);
});

test("no metrics are sent without an address", async () => {
  assert.equal(await createMetrics(from), NOOP_METRICS);
});
