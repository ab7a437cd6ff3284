/**
 * A request that crashes each endpoint that runs it. See claim.txt.
 * @module
 */
import { createClients, pressUntil } from "../lib/client.mjs";
import { sleep } from "../lib/endpoint.mjs";
import { BOUNDS, runScript, startMesh } from "../lib/mesh.mjs";

const MACHINES = 6;
const CALM_S = 4;
/** "Such a request comes again", "the endpoint is back after some seconds". */
const COMES_EVERY_MS = 2_500;
const COMES = 12;
const DOWN_MS = 3_000;
const CRASHES_UNTIL_KNOWN = 3;
/** BUDGET: "in more than three retries". */
const MAX_RETRIES = 3;
const BAD_PATH = "/look/bad-entry";

async function main({ record, isTroubled }) {
  /** Runs of the bad request: its id, and when it reached an endpoint. */
  const arrivals = [];
  const mesh = await startMesh({
    record,
    rules: [{
      name: "look",
      kind: "safe",
      prefix: "/look/",
      service: "portal",
      aimMs: 400,
      timeoutMs: 1_000,
      maxAttempts: 2,
    }, {
      name: "booking",
      kind: "unsafe",
      prefix: "/book/",
      service: "portal",
      aimMs: 400,
      timeoutMs: 1_000,
    }],
    machines: Array.from({ length: MACHINES }, (_, index) => ({
      name: `m${index + 1}`,
      zone: `zone-${"abc"[index % 3]}`,
      service: "portal",
      endpoint: {
        run(req, _res, { id, crash }) {
          if (req.url !== BAD_PATH) return undefined;
          const requestId = req.headers["x-request-id"];
          arrivals.push({ requestId, endpoint: id, at: performance.now() });
          crash(DOWN_MS);
          return Promise.resolve(true);
        },
      },
    })),
  });
  let isOver = false;
  const answers = [];
  const clients = mesh.machines.map((machine) =>
    createClients({ record, machine })
  );
  const presses = mesh.machines.map((machine, index) => {
    const start = async (options) => {
      if (!machine.isIn) return;
      answers.push({ ...options, ...await clients[index].send(options) });
    };
    const body = Buffer.from("x".repeat(600));
    const look = { method: "GET", path: "/look/7", deadlineMs: 1_000 };
    const book = { method: "POST", path: "/book/7", deadlineMs: 1_000, body };
    return [
      pressUntil(() => isOver, 10, () => start(look)),
      pressUntil(() => isOver, 10, () => start(book)),
    ];
  }).flat();
  await sleep(CALM_S * 1_000);
  for (let count = 0; count < COMES; count++) {
    if (isTroubled) {
      const { send } = clients[count % MACHINES];
      void send({ method: "GET", path: BAD_PATH, deadlineMs: 1_000 });
    }
    await sleep(COMES_EVERY_MS);
  }
  isOver = true;
  await Promise.all(presses);
  const third = arrivals[CRASHES_UNTIL_KNOWN - 1]?.at ?? Infinity;
  const late = arrivals.filter(({ at }) => at > third + BOUNDS.stabilityMs);
  const again = new Set(late.map(({ requestId }) => requestId)).size;
  // Arrivals beyond the first of their client attempt.
  const repeats = late.length - again;
  const failed = answers.filter(({ path, status }) =>
    path === "/book/7" && status === 502
  );
  record.write("endpoints crashed", String(arrivals.length));
  record.write("arrivals later than 3 s after the third", String(late.length));
  record.write("of these, client attempts", String(again));
  record.write("of these, sent once more by the system", String(repeats));
  record.write("other clients' bookings with 502", String(failed.length));
  await mesh.stop();
  return again > MAX_RETRIES && repeats > MAX_RETRIES;
}

await runScript(import.meta.url, main);
