import { test } from "node:test";
import assert from "node:assert/strict";
import { mkdtemp, readFile, rm } from "node:fs/promises";
import { createServer } from "node:http";
import type { AddressInfo } from "node:net";
import { tmpdir } from "node:os";
import { join } from "node:path";
import {
  createRolloutFixture,
  START_WALL_MS,
} from "../testing/rollout_fixture.ts";
import { writeReport } from "./write_report.ts";

test("report names the leader and loads nothing external", async (t) => {
  const fixture = createRolloutFixture();
  const rollouts = [fixture.rollout()];
  const requestedPaths: string[] = [];
  const server = createServer((req, res) => {
    requestedPaths.push(req.url ?? "");
    const isHistory = req.url?.endsWith("/history") === true;
    const answer = isHistory ? { holder: "10.0.0.7:7001", points: [] } : {
      rollouts,
    };
    res.end(JSON.stringify(answer));
  });
  await new Promise<void>((done) => server.listen(0, "127.0.0.1", done));
  const dir = await mkdtemp(join(tmpdir(), "report-"));
  t.after(async () => {
    server.closeAllConnections();
    server.close();
    await rm(dir, { recursive: true });
  });
  const { port } = server.address() as AddressInfo;
  const out = join(dir, "report.html");
  const lines: string[] = [];
  const context = {
    values: new Map([["node", `127.0.0.1:${port}`], ["out", out]]),
    print: (line: string) => lines.push(line),
    printError: (line: string) => lines.push(line),
    readInput: () => Promise.resolve(new Uint8Array()),
    wall: () => START_WALL_MS + 5_000,
  };
  assert.equal(await writeReport(context, fixture.id), 0, lines.join());
  assert.equal(requestedPaths.at(-1), "/v1/rollouts/portaal%40v2%232/history");
  const page = await readFile(out, "utf8");
  assert.match(page, /led by node 10\.0\.0\.7:7001/);
  assert.match(page, /uPlot=function/);
  // uPlot's licence comment contains its home page's URL, but loads nothing.
  const loaded = page.replace(/\/\*!.*?\*\//s, "");
  assert.doesNotMatch(loaded, /https?:|\b(src|href)\s*=|url\(|@import|<link/);
  assert.equal(await writeReport(context, "portaal@v9#9"), 1);
});
