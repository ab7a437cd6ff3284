/**
 * Experiment `appending`: edits at 300 per second through one node.
 * @module
 */
import { setTimeout as sleep } from "node:timers/promises";
import { build } from "hdr-histogram-js";
import { runNode } from "../../src/adapters/run_node.ts";
import type { ConfigRecord } from "../../src/config_log/messages.ts";
import { startFakeLog } from "../fake_log.ts";
import { freePorts } from "../free_ports.ts";
import { waitFor } from "../wait_for.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const EDITS_PER_SECOND = 300;
const EDIT_COUNT = 1_500;
const WAIT_LIMIT_MS = 20_000;

/**
 * Submits edits at a steady rate. While one edit in 100 is submitted, the log
 * loses its replies, so that the node has to retry the append.
 */
export async function runAppending(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const log = await startFakeLog({
    host: "127.0.0.1",
    port: 0,
    retention: 100_000,
  });
  const [peer, call, admin] = await freePorts(3);
  const node = await runNode({
    domain: "zone-a",
    region: "region-1",
    peerAddr: `127.0.0.1:${peer}`,
    callAddr: `127.0.0.1:${call}`,
    adminAddr: `127.0.0.1:${admin}`,
    seeds: [],
    logUrl: log.url,
    keys: [],
  });
  try {
    await waitFor({
      what: "the node reads the log",
      limitMs: WAIT_LIMIT_MS,
      isTrue: () => log.totals.reads > 0,
    });
    opts.onProgress(`${EDIT_COUNT} edits at ${EDITS_PER_SECOND} a second.`);
    const latencyUs = build();
    const counts = { accepted: 0, other: 0 };
    const running: Promise<void>[] = [];
    const startedAt = performance.now();
    for (let index = 0; index < EDIT_COUNT; index++) {
      const dueAt = startedAt + index * 1_000 / EDITS_PER_SECOND;
      while (performance.now() < dueAt) await sleep(1);
      log.faults.losesReplies = index % 100 === 50;
      const sentAt = performance.now();
      running.push(
        node.control.submit(editOf(index)).then((outcome) => {
          if (outcome.type === "accepted") counts.accepted++;
          else counts.other++;
          latencyUs.recordValue((performance.now() - sentAt) * 1_000);
        }),
      );
    }
    log.faults.losesReplies = false;
    await Promise.all(running);
    const percentileMs = (percent: number) =>
      latencyUs.getValueAtPercentile(percent) / 1_000;
    return [
      figure("accepted", counts.accepted, "edits", `= ${EDIT_COUNT}`),
      figure("other outcomes", counts.other, "edits", "= 0"),
      figure(
        "entries in force",
        node.control.config().uses.size,
        "entries",
        `= ${EDIT_COUNT}`,
      ),
      figure("verdict, median", percentileMs(50), "ms"),
      figure("verdict, 99 in 100", percentileMs(99), "ms"),
      figure("requests to append", log.totals.appends, "requests"),
    ];
  } finally {
    await node.close();
    await log.close();
  }
}

function editOf(index: number): ConfigRecord {
  const plan = `plan-${index}`;
  return {
    kind: "edit",
    editor: "operator",
    changes: [{
      list: "uses",
      key: `${plan}/portaal`,
      expected: 0,
      value: {
        plan,
        service: "portaal",
        version: "v1",
        whenUnjudged: "proceed",
        routes: [{
          name: "all",
          path: "/",
          methods: ["GET"],
          repeatable: true,
          timeoutMs: 1_000,
        }],
      },
    }],
  };
}
