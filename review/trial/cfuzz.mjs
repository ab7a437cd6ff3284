import { Buffer } from "node:buffer";
import { connect } from "node:net";
import { randomInt } from "node:crypto";
import {
  BOUNDS,
  call,
  configOf,
  createRecord,
  HOST,
  rule,
  sleep,
  startFleet,
} from "../lib-3/fleet.mjs";
const record = createRecord("/tmp/rv/cf.txt");
const quiet = () => {};
const runs = new Map();
const machines = ["a", "b", "c"].map((zone) => ({
  name: `m-${zone}`,
  zone,
  service: "one",
  workMs: 5,
  onRun: (r) => {
    runs.set(r.id, (runs.get(r.id) ?? 0) + 1);
    if (!/^(k|c)/.test(r.id)) console.log("odd run", r.id, r.target);
  },
}));
const rules = [
  rule("s", "/s/", "one", {}),
  rule("u", "/u/", "one", { kind: "unsafe" }),
  rule("p", "/p/", "one", { kind: "upload" }),
];
const fleet = await startFleet({
  machines,
  config: configOf(1, rules),
  record: (e, f) => {
    if (e === "exit") console.log("EXIT", f);
  },
});
await sleep(BOUNDS.stabilityMs);
const pick = (a) => a[randomInt(a.length)];
const R = (n) =>
  Buffer.from(Array.from({ length: n }, () => randomInt(256))).toString(
    "latin1",
  );
let n = 0;
function gen() {
  const id = `k${++n}`;
  const method = pick([
    "GET",
    "POST",
    "PUT",
    "DELETE",
    "HEAD",
    "OPTIONS",
    "PATCH",
    "TRACE",
    "PROPFIND",
    "CONNECT",
    "M-SEARCH",
    "QUERY",
  ]);
  const path = pick([
    "/s/x",
    "/u/x",
    "/p/x",
    "/s/x?a=b&c",
    "*",
    "http://guild.example/s/x",
    "//s/x",
    "/s/%00",
    "/s/\xff\xfe",
    "/s/" + "a".repeat(randomInt(9000)),
    "/s/../u/x",
    "/s/x#f",
    "/u/x y",
  ]);
  const hs = [
    `Host: ${pick([HOST, HOST + ":80", HOST.toUpperCase(), "other", ""])}`,
    `X-Request-Id: ${pick([id, id, id, id + ".1", id + "," + id])}`,
    `X-Deadline-Ms: ${
      pick(["500", "0", "-1", "NaN", "1e9", "abc", "99999999999", "0.5"])
    }`,
  ];
  const extra = [
    "Expect: 100-continue",
    "Expect: x",
    "Connection: close",
    "Connection: upgrade\r\nUpgrade: websocket",
    "Upgrade: h2c",
    "TE: trailers",
    "Trailer: X",
    "Host: b",
    "X-Request-Id: z",
    "Content-Length: 3",
    "Content-Length: 0",
    "Content-Length: -1",
    "Content-Length: 5, 5",
    "Transfer-Encoding: chunked",
    "Transfer-Encoding: gzip, chunked",
    "Transfer-Encoding: chunked, identity",
    "X-Target-Instance: q",
    "X-Caller-Service: q",
    "X-A: " + R(5).replace(/[\r\n\0]/g, ""),
    "X-B:",
    "Keep-Alive: timeout=1",
    "Proxy-Connection: x",
    "Api-Key: a",
    "X-Tenant: b",
    "X-Server-Stamp: z",
    "X-Not-Executed: 1",
    "X-H: " + "h".repeat(randomInt(20000)),
  ];
  for (let i = randomInt(4); i > 0; i--) hs.push(pick(extra));
  const body = pick([
    "",
    "abc",
    "3\r\nabc\r\n0\r\n\r\n",
    "3\r\nab",
    "zz\r\n",
    "0\r\n\r\nGET /u/smug HTTP/1.1\r\nHost: guild.example\r\nX-Request-Id: smug\r\n\r\n",
    R(50),
    "ffffffffff\r\n",
    "5000\r\n" + "x".repeat(20480) + "\r\n0\r\nX-T: 1\r\n\r\n",
  ]);
  return `${method} ${path} HTTP/${
    pick(["1.1", "1.1", "1.1", "1.0", "2.0"])
  }\r\n${hs.join("\r\n")}\r\n\r\n${body}`;
}
const end = Date.now() + 45000;
let sent = 0, good = 0, bad = 0;
async function worker() {
  while (Date.now() < end) {
    const node = pick(fleet.nodes);
    await new Promise((resolve) => {
      const s = connect(node.callAddress);
      s.on("error", quiet);
      s.on("close", resolve);
      s.on("data", quiet);
      for (let i = randomInt(1, 4); i > 0; i--) {
        s.write(Buffer.from(gen(), "latin1"));
        sent++;
      }
      setTimeout(
        () => randomInt(2) ? s.destroy() : s.resetAndDestroy(),
        randomInt(120),
      );
    });
  }
}
const ws = Array.from({ length: 24 }, worker);
while (Date.now() < end) {
  const r = await call(pick(fleet.nodes), { path: "/s/ok" }, quiet);
  if (r.status === 200) good++;
  else {
    bad++;
    console.log("bad", r.status, r.reason ?? r.text);
  }
  await sleep(50);
}
await Promise.all(ws);
console.log({
  sent,
  good,
  bad,
  running: fleet.nodes.map((x) => x.isRunning()),
});
const logs = fleet.nodes.map((x) => x.logs.join("")).join("");
console.log(
  logs.split("\n").filter((l) =>
    /"level":50|Error|TypeError|suspend|can't be used/.test(l)
  ).slice(0, 10).join("\n").slice(0, 3000),
);
fleet.close();
process.exit(0);
