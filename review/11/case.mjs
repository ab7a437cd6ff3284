/**
 * An endpoint starts again under the id that it had, and soon leaves. Its first
 * ping arrives seconds late, after the leave message was confirmed. The rule
 * DRAIN lets no request reach the endpoint later than `drainMs` after the
 * confirmation.
 * @module
 */
import process from "node:process";
import {
  BOUNDS,
  call,
  configOf,
  createRecord,
  rule,
  sleep,
  startFleet,
} from "../lib-3/fleet.mjs";

const IS_TROUBLE = process.env.TROUBLE !== "0";
const REQUESTS_PER_S = 200;
/** How late the first ping arrives. */
const PING_DELAY_MS = 4_000;
/** Time from the start to the leave message. */
const LEAVE_AFTER_MS = 1_000;
/** How long the endpoint serves after `drainMs`. */
const EXTRA_MS = 6_000;

const record = createRecord(new URL("record.txt", import.meta.url));
/** When requests arrived at the endpoint that leaves, with their ids. */
const arrivals = [];
const LEAVER = "bookings-a2";
// One of eight endpoints crashes, a share of 0.125.
const machines = ["a", "b"].flatMap((zone) =>
  [1, 2, 3, 4].map((number) => {
    const name = `bookings-${zone}${number}`;
    return {
      name,
      zone,
      service: "bookings",
      workMs: 60,
      onArrival: (id) => {
        if (name === LEAVER) arrivals.push({ id, at: Date.now() });
      },
    };
  })
);
const rules = [rule("job-booking", "/book/", "bookings", { kind: "unsafe" })];
const fleet = await startFleet({
  machines,
  config: configOf(1, rules),
  record,
});

let isSending = true;
const answers = [];
/** Clients of the other machines of the zone send requests all the time. */
async function sendAll() {
  const nodes = fleet.nodes.filter(({ name, zone }) =>
    zone === "a" && name !== LEAVER
  );
  const startedAt = Date.now();
  for (let sent = 0; isSending;) {
    const due = (Date.now() - startedAt) * REQUESTS_PER_S / 1_000;
    for (; sent < due; sent++) {
      const opts = { method: "POST", path: `/book/${sent}`, body: "x" };
      const node = nodes[sent % nodes.length];
      answers.push(call(node, opts, record));
    }
    await sleep(10);
  }
}

let code = 0;
try {
  await sleep(BOUNDS.stabilityMs + 1_000);
  const sending = sendAll();
  const { endpoint } = fleet.nodes.find(({ name }) => name === LEAVER);
  await sleep(1_000);
  const before = endpoint.id();
  endpoint.kill();
  record("killed", { instance: before });
  await sleep(2_000);
  await endpoint.start({ isSameId: true, isPinging: false });
  record("started", { instance: endpoint.id() });
  // The ping is sent now. It arrives at once, or late.
  const pinged = endpoint.ping(IS_TROUBLE ? PING_DELAY_MS : 0).then((status) =>
    record("ping-arrived", { instance: endpoint.id(), status })
  );
  await sleep(LEAVE_AFTER_MS);
  const status = await endpoint.leave();
  const confirmedAt = Date.now();
  record("leave-confirmed", { instance: endpoint.id(), status });
  // It serves for `drainMs` and some seconds more, and exits.
  await Promise.all([pinged, sleep(BOUNDS.drainMs + EXTRA_MS)]);
  endpoint.close();
  record("exited", {});
  isSending = false;
  await sending;
  await Promise.all(answers);
  const late = arrivals.filter(({ at }) => at > confirmedAt + BOUNDS.drainMs);
  const isBroken = status === 200 && late.length > 0;
  record("verdict", {
    rule: "DRAIN",
    confirmed: status,
    reachedLate: late.length,
    lastMs: late.length === 0 ? 0 : late.at(-1).at - confirmedAt,
    isBroken,
  });
  console.log(`confirmed ${status}, reached late ${late.length}`);
  code = status === 200 ? (isBroken ? 1 : 0) : 2;
} finally {
  fleet.close();
}
process.exit(code);
