import { test } from "node:test";
import assert from "node:assert/strict";
import { createServer, IncomingMessage, ServerResponse } from "node:http";
import { type AddressInfo, Socket } from "node:net";
import { EndpointState } from "../core/types.ts";
import type { OwnEndpoint } from "../membership/state.ts";
import { createCallWatch } from "./call_watch.ts";
import type { CallRequest } from "./calls.ts";
import { createHome } from "./create_home.ts";
import type { QuarantineDriver } from "./drive_quarantine.ts";

const IDLE_TIMEOUT_MS = 5_000;

function ownOf(endpoint: string, service = "portaal"): OwnEndpoint {
  const announcement = {
    endpoint,
    service,
    version: "v1",
    slots: 1,
    connections: 1,
    state: EndpointState.Ready,
    load: 0,
    healthy: true,
  };
  return { announcement, receivedAt: 0, readySince: 0 };
}

function callOf(): CallRequest {
  return {
    method: "GET",
    service: "portaal",
    version: "v1",
    route: "look",
    plan: "basic",
    isRepeatable: true,
    path: "/",
    headers: {},
    body: { type: "none" },
    deadlineAt: performance.now() + IDLE_TIMEOUT_MS,
    hopsLeft: 0,
    fingerprint: "f",
  };
}

function responseOf() {
  return new ServerResponse(new IncomingMessage(new Socket()));
}

/** A fake quarantine that admits every call and records what is reported. */
function quarantineOf(seen: string[] = []) {
  return {
    start: () => Promise.resolve({ type: "started", call: 1 }),
    end: (_endpoint: string, _call: number, isWhole: boolean) =>
      seen.push(`end ${isWhole}`),
    failed: () => Promise.resolve(seen.push("failed")),
  } as unknown as QuarantineDriver;
}

test("refused connection is not reported as a crash", async () => {
  const seen: string[] = [];
  const quarantine = quarantineOf(seen);
  // Port 1 of loopback has no listener.
  const endpoint = "127.0.0.1:1";
  const watch = createCallWatch({ idleMs: IDLE_TIMEOUT_MS });
  const home = createHome({
    endpoints: () => new Map([[endpoint, ownOf(endpoint)]]),
    watch,
    quarantine,
  });
  const end = await home.run(callOf(), responseOf()).end;
  assert.equal(end.type, "not-run");
  await home.close();
  watch.close();
  assert.deepEqual(seen, ["end false"]);
});

test("waiting call is not run by another service's upstream", async (t) => {
  const runs: ServerResponse[] = [];
  const upstream = createServer((_req, res) => void runs.push(res));
  await new Promise<void>((resolve) =>
    upstream.listen(0, "127.0.0.1", () => resolve())
  );
  const { port } = upstream.address() as AddressInfo;
  const endpoint = `127.0.0.1:${port}`;
  let own = ownOf(endpoint);
  const watch = createCallWatch({ idleMs: IDLE_TIMEOUT_MS });
  const home = createHome({
    endpoints: () => new Map([[endpoint, own]]),
    watch,
    quarantine: quarantineOf(),
  });
  t.after(() => {
    watch.close();
    upstream.closeAllConnections();
    upstream.close();
  });
  const first = home.run(callOf(), responseOf());
  const second = home.run(callOf(), responseOf());
  while (runs.length === 0) {
    await new Promise((resolve) => setTimeout(resolve, 5));
  }
  own = ownOf(endpoint, "facturatie");
  for (const res of runs) res.end();
  await first.end;
  const timer = setInterval(() => runs.at(-1)?.end(), 20);
  const end = await second.end;
  clearInterval(timer);
  assert.equal(end.type, "not-run");
  assert.equal(runs.length, 1);
  await home.close();
});
