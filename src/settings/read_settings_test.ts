import { test } from "node:test";
import assert from "node:assert/strict";
import { readFileSync } from "node:fs";
import { NODE_SETTING_SPECS, toNodeSettings } from "./node_settings.ts";
import { readSettings } from "./read_settings.ts";
import { LAGOON_VERSION } from "./run_binary.ts";

const REQUIRED_FLAGS = [
  "--domain=zone-a",
  "--peer-addr=127.0.0.1:7001",
  "--call-addr=127.0.0.1:7002",
  "--admin-addr=127.0.0.1:7003",
];

function read(argv: string[], env: Record<string, string> = {}) {
  return readSettings({
    binary: "lagoon-node",
    summary: "",
    specs: NODE_SETTING_SPECS,
    argv,
    env,
  });
}

test("flag overrides variable", () => {
  const env = {
    LAGOON_LOG_URL: "http://127.0.0.1:7900",
    LAGOON_DOMAIN: "zone-b",
  };
  const values = read(REQUIRED_FLAGS, env)._unsafeUnwrap();
  assert.equal(values.type, "values");
  if (values.type !== "values") return;
  const settings = toNodeSettings(values.values);
  assert.equal(settings.domain, "zone-a");
  assert.equal(settings.logUrl, "http://127.0.0.1:7900");
  assert.deepEqual(settings.seeds, []);
});

test("missing setting is reported with its variable", () => {
  const err = read(REQUIRED_FLAGS)._unsafeUnwrapErr();
  assert.match(err.message, /--log-url: no value is given/);
  assert.match(err.hint ?? "", /LAGOON_LOG_URL/);
});

test("bad address is refused", () => {
  const err = read([...REQUIRED_FLAGS, "--peer-addr=nowhere"])
    ._unsafeUnwrapErr();
  assert.match(err.message, /--peer-addr: expected host:port/);
});

test("unknown flag is refused", () => {
  const err = read([...REQUIRED_FLAGS, "--frob"])._unsafeUnwrapErr();
  assert.match(err.message, /--frob/);
  assert.match(err.hint ?? "", /--help/);
});

test("help lists every flag", () => {
  const help = read(["--help"])._unsafeUnwrap();
  assert.equal(help.type, "help");
  if (help.type !== "help") return;
  for (const spec of NODE_SETTING_SPECS) {
    assert.ok(help.text.includes(`--${spec.flag}`));
  }
});

test("binaries print the package's version", () => {
  const text = readFileSync("package.json", "utf8");
  assert.equal(JSON.parse(text).version, LAGOON_VERSION);
});
