import { connect } from "node:net";
import {
  BOUNDS,
  configOf,
  createRecord,
  HOST,
  rule,
  sleep,
  startFleet,
} from "../lib-3/fleet.mjs";
const machines = ["a"].map((zone) => ({
  name: `m-${zone}`,
  zone,
  service: "one",
  workMs: 5,
}));
const fleet = await startFleet({
  machines,
  config: configOf(1, [
    rule("s", "/s/", "one", {}),
    rule("u", "/u/", "one", { kind: "unsafe" }),
  ]),
  record: () => {},
});
await sleep(BOUNDS.stabilityMs);
const node = fleet.nodes[0];
const base = (m, p, extra = [], body = "") =>
  `${m} ${p} HTTP/1.1\r\nHost: ${HOST}\r\nX-Request-Id: i${Math.random()}\r\nX-Deadline-Ms: 500\r\n${
    extra.map((e) => e + "\r\n").join("")
  }\r\n${body}`;
const ctl = [];
for (const c of [1, 2, 8, 11, 12, 14, 27, 31, 127, 128, 160, 255]) {
  ctl.push([
    `hdr ${c}`,
    base("GET", "/s/x", [`X-A: b${String.fromCharCode(c)}c`]),
  ]);
}
for (
  const c of [1, 9, 34, 35, 60, 62, 92, 94, 96, 123, 124, 125, 127, 128, 255]
) ctl.push([`path ${c}`, base("GET", `/s/b${String.fromCharCode(c)}c`)]);
for (
  const m of [
    "HEAD",
    "OPTIONS",
    "TRACE",
    "PROPFIND",
    "M-SEARCH",
    "QUERY",
    "PUT",
    "DELETE",
    "PATCH",
    "SEARCH",
    "LINK",
    "PURGE",
    "MKCOL",
    "SOURCE",
  ]
) {
  ctl.push([`m ${m}`, base(m, "/s/x")]),
    ctl.push([`m ${m} body`, base(m, "/s/x", ["Content-Length: 3"], "abc")]),
    ctl.push([
      `m ${m} chunk`,
      base(m, "/s/x", ["Transfer-Encoding: chunked"], "3\r\nabc\r\n0\r\n\r\n"),
    ]);
}
for (
  const e of [
    "Host: b",
    "X-Request-Id: z",
    "Connection: close",
    "Connection: X-A\r\nX-A: 1",
    "TE: trailers",
    "Upgrade: h2c",
    "Connection: upgrade\r\nUpgrade: websocket",
    "Expect: 100-continue",
    "Keep-Alive: timeout=1",
    "Proxy-Connection: x",
    "Proxy-Authorization: x",
    "Trailer: x",
    "X-Target-Instance: q",
    "X-B:",
    "X-H: " + "h".repeat(15000),
    "Content-Length: 0",
    "Content-Type: a\r\nContent-Type: b",
    "Cookie: a\r\nCookie: b",
    "Accept-Encoding: gzip",
    "Alt-Svc: x",
    "HTTP2-Settings: x",
    "Date: x",
    "Via: x",
    "Max-Forwards: 0",
    "__proto__: x",
    "constructor: x",
    "hasOwnProperty: x",
    "Content-Length: 3, 3",
  ]
) ctl.push([`x ${e.slice(0, 40)}`, base("GET", "/s/x", [e])]);
ctl.push([
  "expect post",
  base("POST", "/u/x", ["Expect: 100-continue", "Content-Length: 3"], "abc"),
]);
ctl.push(["10 http1.0", base("GET", "/s/x").replace("HTTP/1.1", "HTTP/1.0")]);
ctl.push(["long path", base("GET", "/s/" + "a".repeat(14000))]);
ctl.push(["abs", base("GET", "http://guild.example/s/x")]);
ctl.push(["dd", base("GET", "/s/../s/x")]);
ctl.push([
  "many headers",
  base("GET", "/s/x", Array.from({ length: 1500 }, (_, i) => `a${i}: b`)),
]);
for (const [name, text] of ctl) {
  const before = node.logs.join("").split("can't be used").length;
  const out = await new Promise((res) => {
    const s = connect(node.callAddress);
    let t = "";
    s.on("data", (d) => t += d);
    s.on("error", () => {});
    s.on("close", () => res(t));
    s.write(Buffer.from(text, "latin1"));
    setTimeout(() => s.destroy(), 350);
  });
  await sleep(350);
  const after = node.logs.join("").split("can't be used").length;
  const st = out.slice(0, 12);
  if (after > before || !/200/.test(st)) {
    console.log(
      name,
      "|",
      st,
      out.split("\r\n\r\n")[1]?.slice(0, 60),
      after > before ? "SUSPENDED" : "",
    );
  }
}
fleet.close();
process.exit(0);
