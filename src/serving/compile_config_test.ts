import { test } from "node:test";
import assert from "node:assert/strict";
import fc from "fast-check";
import { createConfigState } from "../config_log/create_config_state.ts";
import { foldRecord } from "../config_log/fold_record.ts";
import type { LogRecord } from "../config_log/messages.ts";
import type { ConfigState } from "../config_log/state.ts";
import { keyOfVersion } from "../core/key_of_version.ts";
import type { Directory } from "../core/types.ts";
import { arbitraryLog } from "../testing/arbitrary_records.ts";
import { checkProperty } from "../testing/check_property.ts";
import { compileConfig } from "./compile_config.ts";
import { decideSwap } from "./decide_swap.ts";
import type { ServingConfig } from "./state.ts";

function directoryOf(present: ReadonlySet<string>): Directory {
  return {
    homes: () => [],
    remotes: () => [],
    isPresent: (service, version) =>
      present.has(keyOfVersion(service, version)),
  };
}

function assertConsistent(
  config: ServingConfig,
  state: ConfigState,
  present: ReadonlySet<string>,
) {
  for (const { service, split } of config.services.values()) {
    assert.ok(present.has(keyOfVersion(service, split.stable)));
    const { candidate } = split;
    if (candidate === undefined) continue;
    assert.ok(present.has(keyOfVersion(service, candidate.version)));
  }
  const keys = [...config.services.keys(), ...config.inactive];
  assert.deepEqual(keys.sort(), [...state.uses.keys()].sort());
  for (const [key, row] of state.uses) {
    if (!present.has(keyOfVersion(row.service, row.stable))) continue;
    assert.ok(config.services.has(key));
  }
}

const VERSIONS = ["portaal", "opslag"].flatMap((service) =>
  ["v1", "v2", "v3"].map((version) => keyOfVersion(service, version))
);

test("active routes name only versions that are present", () => {
  checkProperty(
    fc.property(
      arbitraryLog,
      fc.array(fc.constantFrom(...VERSIONS), { maxLength: 60 }),
      (log, toggles) => {
        const state = createConfigState();
        const present = new Set<string>();
        let serving: ServingConfig | undefined;
        log.forEach((record, index) => {
          foldRecord({ state, record });
          const name = toggles[index];
          if (name !== undefined && !present.delete(name)) present.add(name);
          const directory = directoryOf(present);
          const candidate = compileConfig({
            state,
            directory,
            previous: serving,
          });
          const fresh = compileConfig({ state, directory });
          assert.deepEqual(candidate, fresh);
          assertConsistent(candidate, state, present);
          const current = serving;
          const decision = decideSwap({ current, candidate, floor: 0 });
          assert.equal(decision.type, "swap");
          serving = candidate;
        });
      },
    ),
    { runs: 200 },
  );
});

function edit(plan: string, service: string): LogRecord {
  const route = { name: "all", path: "/", methods: ["GET"] };
  const value = { plan, service, version: "v1", routes: [route] };
  const key = `${plan}/${service}`;
  const changes = [{ list: "uses", key, expected: 0, value }];
  const record = { kind: "edit", editor: "eva", changes };
  const body = JSON.stringify({ writer: "w", seq: 1, at: "", record });
  return { offset: 1, body };
}

test("absent service becomes active when present", () => {
  const state = createConfigState();
  foldRecord({ state, record: edit("basic", "portaal") });
  const absent = compileConfig({ state, directory: directoryOf(new Set()) });
  assert.deepEqual([...absent.inactive], ["basic/portaal"]);
  const directory = directoryOf(new Set(["portaal@v1"]));
  const active = compileConfig({ state, directory, previous: absent });
  assert.deepEqual([...active.services.keys()], ["basic/portaal"]);
  const again = compileConfig({ state, directory, previous: active });
  assert.equal(again.planOf, active.planOf);
  assert.equal(
    again.services.get("basic/portaal"),
    active.services.get("basic/portaal"),
  );
});

test("older version does not replace the one in force", () => {
  const state = createConfigState();
  foldRecord({ state, record: edit("basic", "portaal") });
  const directory = directoryOf(new Set());
  const candidate = compileConfig({ state, directory });
  const current = { ...candidate, version: 2 };
  const newer = decideSwap({ current, candidate, floor: 0 });
  assert.equal(newer.type, "older");
  const restarted = decideSwap({ current: undefined, candidate, floor: 2 });
  assert.equal(restarted.type, "older");
});
