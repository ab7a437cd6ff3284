import { test } from "node:test";
import assert from "node:assert/strict";
import { checkAccess } from "./check_access.ts";
import type { NodeSettings } from "./node_settings.ts";

const SETTINGS: NodeSettings = {
  domain: "zone-a",
  region: "nl-west",
  peerAddr: "127.0.0.1:7000",
  callAddr: "[::1]:7001",
  adminAddr: "localhost:7002",
  seeds: [],
  logUrl: "http://127.0.0.1:7900",
  keys: [],
};

test("loopback ports need no key", () => {
  assert.ok(checkAccess(SETTINGS).isOk());
});

test("open port without a key is refused", () => {
  const openAddresses = [
    "10.0.0.1:7000",
    "0.0.0.0:7000",
    "127.evil.example:7000",
  ];
  for (const adminAddr of openAddresses) {
    const checked = checkAccess({ ...SETTINGS, adminAddr });
    const error = checked._unsafeUnwrapErr();
    assert.equal(error.code, "LAGOON_ACCESS_NO_KEY");
    assert.ok(error.message.includes(adminAddr));
    assert.ok(checkAccess({ ...SETTINGS, adminAddr, keys: ["k"] }).isOk());
  }
});
