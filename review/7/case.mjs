/**
 * An endpoint leaves while the store is down, and its node confirms it. Then all
 * processes are killed, and a ping of the endpoint from before arrives late.
 */
import { setTimeout as sleep } from "node:timers/promises";
import { fileURLToPath } from "node:url";
import { send } from "../lib-2/client.mjs";
import { BOUNDS, configOf, runCase, startMesh } from "../lib-2/mesh.mjs";
import { createRecord } from "../lib-2/record.mjs";

const HAS_TROUBLE = process.env.TROUBLE !== "0";

/** How long the store is down: less than the 8 s of the site's day trouble-3. */
const DOWN_MS = 4_000;
/** How late the ping is, and how long the endpoint serves on. */
const LATE_MS = 2_500;
const SERVE_MS = 14_000;
const RATE_PER_S = 60;

const ZONES = ["za", "zb", "zc"];
const HOST = "tracker.example";

const record = createRecord(
  fileURLToPath(new URL("record.txt", import.meta.url)),
);

await runCase(record, async () => {
  const mesh = await startMesh({
    record,
    machines: ["tracker", "bookings"].flatMap((service) =>
      ZONES.map((zone) => ({ service, zone, slots: 6 }))
    ),
    config: configOf(1, [{
      name: "lookup",
      host: HOST,
      prefix: "/lookup/",
      service: "tracker",
      kind: "safe",
      aimMs: 200,
      timeoutMs: 800,
    }]),
    plan: () => ({ workMs: 60 }),
  });
  let timer;
  try {
    await mesh.start();
    await sleep(BOUNDS.stabilityMs + 1_000);
    let count = 0;
    timer = setInterval(() => {
      const machine = mesh.machines[++count % mesh.machines.length];
      void send({
        address: machine.outbound,
        machine: machine.name,
        host: HOST,
        path: `/lookup/${count}`,
        deadlineMs: 800,
        record,
      });
    }, 1_000 / RATE_PER_S);
    await sleep(1_000);
    const [leaving] = mesh.machines;
    if (HAS_TROUBLE) {
      record.add("store is down");
      mesh.store.setSilent(true);
    }
    const downAt = record.now();
    const status = await leaving.endpoint.leaveFirst({
      lateMs: LATE_MS,
      serveMs: SERVE_MS,
    });
    if (status !== 200) throw new Error("the leave message was not confirmed");
    const confirmedAt = record.now();
    if (HAS_TROUBLE) {
      for (const machine of mesh.machines) mesh.kill(machine, "SIGKILL");
    }
    await sleep(Math.max(0, DOWN_MS - (record.now() - downAt)));
    record.add("store is up");
    mesh.store.setSilent(false);
    const upAt = record.now();
    await sleep(SERVE_MS - (record.now() - confirmedAt) + 500);
    return judge(leaving.endpoint.id(), { confirmedAt, upAt });
  } finally {
    clearInterval(timer);
    await mesh.close();
  }
});

/** The rule DRAIN, for requests that machines in touch took and sent on. */
function judge(endpoint, { confirmedAt, upAt }) {
  const { entries } = record;
  const starts = entries
    .filter(({ what }) => what === "process started")
    .map(({ at }) => at);
  // Each machine started by then, and the store has been up all the while.
  const calmFrom = Math.max(...starts, HAS_TROUBLE ? upAt : 0) +
    BOUNDS.stabilityMs;
  const sentOf = new Map(
    entries.filter(({ what }) => what === "sent").map((one) => [one.id, one]),
  );
  const late = entries.filter(({ what, at, id, ...one }) =>
    what === "arrived" && one.endpoint === endpoint &&
    at > confirmedAt + BOUNDS.drainMs && (sentOf.get(id)?.at ?? 0) > calmFrom
  );
  const served =
    entries.filter(({ what, status, at }) =>
      what === "answered" && status === 200 && at > calmFrom
    ).length;
  record.add("judged", {
    confirmedAt,
    calmFrom,
    served,
    arrivedTooLate: late.length,
    first: late[0]?.at,
    last: late.at(-1)?.at,
  });
  if (served === 0) throw new Error("the mesh does not serve");
  return late.length > 0 ? 1 : 0;
}
