import { test } from "node:test";
import assert from "node:assert/strict";
import type { OfferedCall } from "../calls/state.ts";
import { offeredCall } from "../testing/offered_call.ts";
import { serveLink } from "./serve_link.ts";

test("time that an offer waited unread is taken off its time", () => {
  const offered: OfferedCall[] = [];
  const link = serveLink({
    home: {
      offer(call) {
        offered.push(call);
        return { send() {}, finish() {}, cancel() {} };
      },
    },
    report: () => ({ running: 0, waiting: 0, meanMs: 0, routeMs: 0 }),
    lagMs: () => 1_900,
    send() {},
  });
  const call = offeredCall({ leftMs: 200, aimLeftMs: 60 });
  link.take({ type: "offer", key: 1, call });
  assert.equal(offered[0]?.leftMs, -1_700);
  assert.equal(offered[0]?.aimLeftMs, -1_840);
});
