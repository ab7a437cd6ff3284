import { execFile } from "node:child_process";
import { test } from "node:test";
import assert from "node:assert/strict";
import process from "node:process";
import { promisify } from "node:util";
import { freePorts } from "./free_ports.ts";

const DRAWS = 400;

test("two processes never get the same port", async () => {
  const url = new URL("./free_ports.js", import.meta.url).href;
  const script = `import { freePorts } from ${JSON.stringify(url)};
    console.log(JSON.stringify(await freePorts(${DRAWS})));
    process.stdin.resume();`;
  const children = [1, 2, 3].map(() => {
    const run = promisify(execFile)(process.execPath, [
      "--input-type=module",
      "-e",
      script,
    ]);
    return run;
  });
  const printed = children.map(({ child }) =>
    new Promise<number[]>((resolve, reject) => {
      let text = "";
      child.stdout?.on("data", (part) => {
        text += String(part);
        if (text.endsWith("\n")) resolve(JSON.parse(text) as number[]);
      });
      child.once("exit", () => reject(new Error(`child printed ${text}`)));
    })
  );
  const ports = [
    ...await freePorts(DRAWS),
    ...(await Promise.all(printed)).flat(),
  ];
  for (const { child } of children) child.stdin?.end();
  await Promise.all(children);
  assert.equal(new Set(ports).size, DRAWS * 4);
});
