/**
 * Experiment `memory`: resident and anonymous memory of one idle node.
 * @module
 */
import { spawn } from "node:child_process";
import { readFile } from "node:fs/promises";
import process from "node:process";
import { startFakeLog } from "../fake_log.ts";
import { freePorts } from "../free_ports.ts";
import { waitFor } from "../wait_for.ts";
import { type ExperimentOptions, type Figure, figure } from "./figure.ts";

const KB_PER_MB = 1024;
const WAIT_LIMIT_MS = 20_000;

/** Measures an idle node, and an empty Node.js process for comparison. */
export async function runMemory(
  opts: ExperimentOptions,
): Promise<readonly Figure[]> {
  const log = await startFakeLog({
    host: "127.0.0.1",
    port: 0,
    retention: 1_000,
  });
  const [peer = 0, call = 0, admin = 0] = await freePorts(3);
  opts.onProgress("Starting a node and an empty Node.js process.");
  const node = spawn(process.execPath, [
    "dist/src/bin/lagoon_node.js",
    "--domain=zone-a",
    `--peer-addr=127.0.0.1:${peer}`,
    `--call-addr=127.0.0.1:${call}`,
    `--admin-addr=127.0.0.1:${admin}`,
    `--log-url=${log.url}`,
  ]);
  const bare = spawn(process.execPath, ["-e", "setInterval(() => {}, 1e6)"]);
  try {
    await waitFor({
      what: "the node reads the log",
      limitMs: WAIT_LIMIT_MS,
      isTrue: () => log.totals.reads > 0,
    });
    const [ofNode, ofBare] = await Promise.all([
      readMemory(node.pid),
      readMemory(bare.pid),
    ]);
    return [
      figure("node resident", ofNode.resident, "MB", "< 64"),
      figure("node anonymous", ofNode.anonymous, "MB", "< 64"),
      figure("bare process resident", ofBare.resident, "MB"),
      figure("bare process anonymous", ofBare.anonymous, "MB"),
    ];
  } finally {
    node.kill();
    bare.kill();
    await log.close();
  }
}

/** Reads the memory of a process in MB from `/proc/<pid>/status`. */
export async function readMemory(
  pid: number | undefined,
): Promise<{ resident: number; anonymous: number }> {
  const status = await readFile(`/proc/${pid}/status`, "utf8");
  const read = (field: string) =>
    Number(new RegExp(`${field}:\\s+(\\d+)`).exec(status)?.[1]) /
    KB_PER_MB;
  return { resident: read("VmRSS"), anonymous: read("RssAnon") };
}
