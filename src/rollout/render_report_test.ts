import { test } from "node:test";
import assert from "node:assert/strict";
import {
  createRolloutFixture,
  START_WALL_MS,
} from "../testing/rollout_fixture.ts";
import { explainRollout, statusOfRollout } from "./explain_rollout.ts";
import { renderReport } from "./render_report.ts";

const TAKE_OVER_BY = new Date(START_WALL_MS + 600_000).toISOString();

test("explanation shows time left and steps", () => {
  const fixture = createRolloutFixture({ takeOverBy: TAKE_OVER_BY });
  fixture.append({
    kind: "lease",
    name: `rollout/${fixture.id}`,
    holder: "n1",
    term: 1,
  });
  fixture.append({
    kind: "rollout-step",
    rollout: fixture.id,
    term: 1,
    step: { type: "share", perMille: 20, reason: "It begins." },
  });
  const wall = START_WALL_MS + 60_000;
  const text = explainRollout(fixture.rollout(), wall).join("\n");
  assert.match(text, /portaal@v2#2: shifting, 2% of calls, from v1\./);
  assert.match(text, /9 min left/);
  assert.match(text, /Expected finish: 2026-12-04T08:/);
  assert.match(text, /offset 4: shifting, 2%\. It begins\./);
  const { leftMs } = statusOfRollout(fixture.rollout(), wall);
  assert.equal(leftMs, 540_000);
});

test("report makes no network requests and escapes its texts", () => {
  const rollout = {
    ...createRolloutFixture().rollout(),
    version: "</script><b>",
  };
  const point = {
    at: START_WALL_MS,
    perMille: 20,
    calls: 10,
    failures: 1,
    oldCalls: 90,
    oldFailures: 0,
    slowShare: 0,
    oldSlowShare: 0,
  };
  const page = renderReport({
    rollout,
    points: [point, { ...point, at: START_WALL_MS + 1_000, calls: 20 }],
    wall: START_WALL_MS + 2_000,
    plotScript: "/* plot */",
    plotStyle: "",
  });
  assert.doesNotMatch(page, /(src|href)=|https?:\/\//);
  assert.doesNotMatch(page, /<b>/);
  assert.equal(page.match(/<\/script>/g)?.length, 2);
});
