import { test } from "node:test";
import assert from "node:assert/strict";
import { IncomingMessage, ServerResponse } from "node:http";
import { Socket } from "node:net";
import { EndpointState } from "../core/types.ts";
import { createCallWatch } from "./call_watch.ts";
import { createHome } from "./create_home.ts";
import type { QuarantineDriver } from "./drive_quarantine.ts";

test("refused connection is no crash", async () => {
  const seen: string[] = [];
  const quarantine = {
    start: () => Promise.resolve({ type: "started", call: 1 }),
    end: (_endpoint: string, _call: number, isWhole: boolean) =>
      seen.push(`end ${isWhole}`),
    failed: () => Promise.resolve(seen.push("failed")),
  } as unknown as QuarantineDriver;
  // Port 1 of loopback has no listener.
  const endpoint = "127.0.0.1:1";
  const announcement = {
    endpoint,
    service: "portaal",
    version: "v1",
    slots: 1,
    connections: 1,
    state: EndpointState.Ready,
    load: 0,
    healthy: true,
  };
  const own = { announcement, heardAt: 0, readySince: 0 };
  const watch = createCallWatch({ idleMs: 5_000 });
  const home = createHome({
    endpoints: () => new Map([[endpoint, own]]),
    watch,
    quarantine,
  });
  const res = new ServerResponse(new IncomingMessage(new Socket()));
  const end = await home.run({
    method: "GET",
    service: "portaal",
    version: "v1",
    route: "look",
    plan: "basic",
    isRepeatable: true,
    path: "/",
    headers: {},
    body: { type: "none" },
    deadlineAt: performance.now() + 5_000,
    hopsLeft: 0,
    fingerprint: "f",
  }, res).end;
  assert.equal(end.type, "not-run");
  await home.close();
  watch.close();
  assert.deepEqual(seen, ["end false"]);
});
