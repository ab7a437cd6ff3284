/**
 * An endpoint that has left, a late ping, and a kill of all nodes. See
 * claim.txt.
 * @module
 */
import { createClients, pressUntil } from "../lib/client.mjs";
import { sleep } from "../lib/endpoint.mjs";
import { BOUNDS, runScript, startMesh } from "../lib/mesh.mjs";

const MACHINES = 6;
const CALM_S = 4;
const RESTART_MS = 500;
/** The late ping was sent before the leave message, and arrives this long after it. */
const PING_LATE_MS = 2_000;
/** "It continues serving for `drainMs` and a little longer (at times many seconds)". */
const SERVES_MS = 10_000;

async function main({ record, isTroubled }) {
  const mesh = await startMesh({
    record,
    rules: [{
      name: "look",
      kind: "safe",
      prefix: "/look/",
      service: "portal",
      aimMs: 400,
      timeoutMs: 1_000,
    }],
    machines: Array.from({ length: MACHINES }, (_, index) => ({
      name: `m${index + 1}`,
      zone: `zone-${"abc"[index % 3]}`,
      service: "portal",
      endpoint: {
        run(_req, _res, { id }) {
          if (id === leaving?.id) arrivals.push(performance.now());
          return undefined;
        },
      },
    })),
  });
  const [{ endpoint: leaving }] = mesh.machines;
  const arrivals = [];
  let isOver = false;
  const presses = mesh.machines.map((machine) => {
    const { send } = createClients({ record, machine });
    return pressUntil(() => isOver, 20, () => {
      if (!machine.isIn) return;
      void send({ method: "GET", path: "/look/7", deadlineMs: 1_000 });
    });
  });
  await sleep(CALM_S * 1_000);
  const latePing = leaving.describe();
  const status = await leaving.leave();
  if (status !== 200) throw new Error(`the leave got ${status}`);
  const confirmedAt = performance.now();
  let inTouchAt = confirmedAt;
  if (isTroubled) {
    for (const machine of mesh.machines) machine.kill();
    await sleep(RESTART_MS);
    for (const machine of mesh.machines) machine.start();
    inTouchAt = performance.now() + BOUNDS.stabilityMs;
  }
  await sleep(PING_LATE_MS - (performance.now() - confirmedAt));
  record.write("the late ping arrives", await leaving.send(latePing));
  await sleep(SERVES_MS - (performance.now() - confirmedAt));
  leaving.stop();
  isOver = true;
  await Promise.all(presses);
  const late = arrivals.filter((at) =>
    at > confirmedAt + BOUNDS.drainMs && at > inTouchAt
  );
  record.write("requests at the endpoint that left", String(arrivals.length));
  record.write("later than drainMs, nodes in touch", String(late.length));
  const lastMs = Math.round((late.at(-1) ?? confirmedAt) - confirmedAt);
  record.write("the last one after the confirmation, in ms", String(lastMs));
  await mesh.stop();
  return late.length > 0;
}

await runScript(import.meta.url, main);
