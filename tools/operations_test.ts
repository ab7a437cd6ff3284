import { test } from "node:test";
import assert from "node:assert/strict";
import { readdir, readFile } from "node:fs/promises";
import { readConfig } from "../platform/decode_operator_record.ts";
import { runNode } from "../src/adapters/run_node.ts";
import { CODE_MEANINGS } from "../src/cli/code_meanings.ts";
import { CTL_SETTING_SPECS } from "../src/cli/ctl_settings.ts";
import { runCommand } from "../src/cli/run_command.ts";
import { NODE_SETTING_SPECS } from "../src/settings/node_settings.ts";
import {
  readSettings,
  type SettingSpec,
  variableOf,
} from "../src/settings/read_settings.ts";
import { startFakeLog } from "./fake_log.ts";
import { NO_FAULTS, startFakeUpstream } from "./fake_upstream.ts";
import { freePorts } from "./free_ports.ts";
import { waitFor } from "./wait_for.ts";

const operationsPage = await readFile("docs/OPERATIONS.md", "utf8");

/** Returns the cells of the table under a heading, without its header row. */
function tableRowsUnder(heading: string): string[][] {
  const section =
    operationsPage.split(`\n## ${heading}\n`)[1]?.split("\n## ")[0] ?? "";
  const rows = section.split("\n").filter((line) => line.startsWith("|"));
  return rows.slice(2).map((row) =>
    row.split("|").slice(1, -1).map((cell) => cell.trim())
  );
}

function settingRow(spec: SettingSpec): string[] {
  const fallback = spec.fallback ? `\`${spec.fallback}\`` : "none";
  return [
    `\`--${spec.flag}\``,
    `\`${variableOf(spec.flag)}\``,
    spec.isRequired === true ? "required" : fallback,
    spec.describe,
  ];
}

test("documented settings equal the specs", () => {
  const node = tableRowsUnder("Settings of lagoon-node");
  assert.deepEqual(node, NODE_SETTING_SPECS.map(settingRow));
  const ctl = tableRowsUnder("Settings of lagoonctl");
  assert.deepEqual(ctl, CTL_SETTING_SPECS.map(settingRow));
});

test("documented codes equal the code table", () => {
  const rows = Object.entries(CODE_MEANINGS).map(([code, meaning]) => [
    `\`${code}\``,
    meaning,
  ]);
  assert.deepEqual(tableRowsUnder("Refusal codes"), rows);
});

test("every code in src has a meaning", async () => {
  const names = await readdir("src", { recursive: true });
  const files = names.filter((name) =>
    name.endsWith(".ts") && !name.endsWith("_test.ts")
  );
  const texts = await Promise.all(
    files.map((name) => readFile(`src/${name}`, "utf8")),
  );
  const codes = texts.flatMap((text) => text.match(/"LAGOON_[A-Z_]+"/g) ?? []);
  const unknown = new Set(
    codes.map((code) => code.slice(1, -1)).filter((code) =>
      CODE_MEANINGS[code] === undefined
    ),
  );
  assert.deepEqual([...unknown], []);
});

test("every documented command runs", async (t) => {
  const log = await startFakeLog({ host: "127.0.0.1", port: 0, retention: 99 });
  t.after(() => log.close());
  const ports = await freePorts(3);
  const [peerAddr, callAddr, adminAddr] = ports.map((port) =>
    `127.0.0.1:${port}`
  ) as [string, string, string];
  const node = await runNode({
    domain: "zone-a",
    region: "nl-west",
    peerAddr,
    callAddr,
    adminAddr,
    seeds: [],
    logUrl: log.url,
    keys: [],
  });
  t.after(() => node.close());
  const upstream = await startFakeUpstream({
    host: "127.0.0.1",
    port: 0,
    service: "portaal",
    version: "v1",
    slots: 6,
    connections: 100,
    homes: [adminAddr],
    serviceMs: 1,
    faults: NO_FAULTS,
  });
  t.after(() => upstream.close());
  await waitFor({
    what: "the node reads the log",
    limitMs: 20_000,
    isTrue: () => log.totals.reads > 0,
  });
  const files = new Map<string, string>();

  async function run(line: string) {
    const [words = "", input] = line.split(" < ");
    const [command = "", output] = words.split(" > ");
    const lines: string[] = [];
    const read = readSettings({
      binary: "lagoonctl",
      summary: "",
      specs: CTL_SETTING_SPECS,
      argv: [...command.split(" ").slice(1), `--node=${adminAddr}`],
      env: {},
      positionals: "COMMAND",
    })._unsafeUnwrap();
    assert.equal(read.type, "values");
    if (read.type !== "values") return { code: 2, lines };
    const code = await runCommand({
      values: read.values,
      positionals: read.positionals,
      print: (text) => lines.push(text),
      printError: (text) => lines.push(text),
      readInput: () =>
        Promise.resolve(Buffer.from(files.get(input ?? "") ?? "")),
      wall: () => Date.now(),
      readConfig,
    });
    if (output !== undefined) files.set(output, lines.join("\n"));
    return { code, lines };
  }

  const commands = operationsPage.split("\n").filter((line) =>
    line.startsWith("lagoonctl ")
  );
  assert.ok(commands.length > 10);
  for (const line of commands) {
    const { code, lines } = await run(line);
    // No version was rolled back on this node, so a reinstatement fails.
    const expected = line.includes(" reinstate ") ? 1 : 0;
    assert.equal(code, expected, `${line}: ${lines.join("\n")}`);
    assert.ok(lines.length > 0, line);
  }
  const again = await run("lagoonctl apply - --dry-run < lists.yaml");
  assert.equal(again.code, 0);
  const bad = await run("lagoonctl apply no-such-file.yaml");
  assert.equal(bad.code, 2);

  const post = (body: string) =>
    fetch(`http://${adminAddr}/v1/edits`, { method: "POST", body });
  const broken = await post("{");
  assert.equal(broken.status, 400);
  assert.match(await broken.text(), /LAGOON_BODY_MALFORMED/);
  const list = await post("[]");
  assert.match(await list.text(), /LAGOON_BODY_MALFORMED/);
  const large = await post(`{"editor":"${"x".repeat(5 * 1024 * 1024)}"}`);
  assert.equal(large.status, 413);
  await large.text();
  const missing = await fetch(`http://${adminAddr}/v2/nothing`);
  assert.equal(missing.status, 404);
  assert.match(await missing.text(), /LAGOON_ADMIN_PATH/);
  const wrongMethod = await fetch(`http://${adminAddr}/v1/lists`, {
    method: "DELETE",
  });
  assert.equal(wrongMethod.status, 404);
  await wrongMethod.text();
});
