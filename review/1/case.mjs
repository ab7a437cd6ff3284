/**
 * Uploads at nodes that were killed and start again. See claim.txt.
 * @module
 */
import { createClients, pressUntil } from "../lib/client.mjs";
import { sleep } from "../lib/endpoint.mjs";
import { runScript, startMesh } from "../lib/mesh.mjs";

/**
 * Machines that are killed together (0.54 of all; veldhuis-mesh lists a share of
 * 0.55), others with the same service, and others.
 */
const MACHINES = { killed: 7, spared: 1, others: 5 };
const ROUNDS = 18;
const RESTART_MS = 300;
const CALM_MS = 4_500;
const UPLOADS_PER_S = 30;

async function main({ record, isTroubled }) {
  /** Endpoints that have begun to run each upload, by the upload's id. */
  const runs = new Map();
  const withService = MACHINES.killed + MACHINES.spared;
  const mesh = await startMesh({
    record,
    rules: [{
      name: "upload",
      kind: "upload",
      prefix: "/upload/",
      service: "storage",
      aimMs: 500,
      timeoutMs: 1_200,
    }, {
      name: "look",
      kind: "safe",
      prefix: "/look/",
      service: "portal",
      aimMs: 400,
      timeoutMs: 1_000,
    }],
    machines: Array.from(
      { length: withService + MACHINES.others },
      (_, index) => ({
        name: `m${index + 1}`,
        zone: `zone-${"abc"[index % 3]}`,
        service: index < withService ? "storage" : "portal",
        endpoint: {
          slots: 18,
          workMs: 120,
          run(req, _res, { id }) {
            const requestId = req.headers["x-request-id"];
            runs.set(requestId, [...runs.get(requestId) ?? [], id]);
            return undefined;
          },
        },
      }),
    ),
  });
  let isOver = false;
  const body = Buffer.from("x".repeat(6_000));
  const presses = mesh.machines.slice(0, MACHINES.killed).map((machine) => {
    const { send } = createClients({ record, machine });
    return pressUntil(() => isOver, UPLOADS_PER_S, () => {
      if (!machine.isIn) return;
      void send({
        method: "POST",
        path: "/upload/7",
        deadlineMs: 1_200,
        body,
        pieces: { count: 2, everyMs: 50 },
      });
    });
  });
  await sleep(3_000);
  for (let round = 0; round < ROUNDS; round++) {
    for (const machine of mesh.machines.slice(0, MACHINES.killed)) {
      if (!isTroubled) continue;
      machine.kill();
      setTimeout(machine.start, RESTART_MS);
    }
    await sleep(RESTART_MS + CALM_MS);
  }
  isOver = true;
  await Promise.all(presses);
  await sleep(1_500);
  const twice = [...runs].filter(([, endpoints]) => endpoints.length > 1);
  record.write("uploads that ran", String(runs.size));
  for (const [id, endpoints] of twice) {
    record.write("ran twice", id, endpoints.join(" "));
  }
  await mesh.stop();
  return twice.length > 0;
}

await runScript(import.meta.url, main);
