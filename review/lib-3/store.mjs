/**
 * Stand-in of the platform's store: keyed topics of one partition.
 *
 * Follows PROTOCOL.md: appends with `at` and with producer, epoch and sequence
 * (a repeat of one of the last five appends gets its first response), long-poll
 * reads, and the newest record of each key.
 * @module
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

const KEPT_REPEATS = 5;

/** Creates the store. `listen` opens one address; all share the topics. */
export function createStore() {
  const topics = new Map();
  const servers = [];

  function topicOf(name) {
    let topic = topics.get(name);
    if (topic === undefined) {
      topic = { records: [], fences: new Map(), waiting: new Set() };
      topics.set(name, topic);
    }
    return topic;
  }

  function append(topic, records) {
    const offset = topic.records.length;
    topic.records.push(...records);
    for (const wake of [...topic.waiting]) wake();
    return { offset, end: topic.records.length };
  }

  /** Returns the answer to a repeat or a refusal, undefined to append. */
  function checkFence(topic, query) {
    const producer = query.get("producer");
    if (producer === null) return undefined;
    const epoch = Number(query.get("epoch"));
    const seq = Number(query.get("sequence"));
    const known = topic.fences.get(producer);
    if (known === undefined || epoch > known.epoch) return undefined;
    if (epoch < known.epoch) return { status: 409, body: { why: "fenced" } };
    const repeat = known.last.find((one) => one.seq === seq);
    if (repeat !== undefined) return { status: 200, body: repeat.body };
    if (seq === known.next) return undefined;
    return { status: 409, body: { why: "seq", expected: known.next } };
  }

  function recordFence(topic, query, body) {
    const producer = query.get("producer");
    if (producer === null) return;
    const epoch = Number(query.get("epoch"));
    const seq = Number(query.get("sequence"));
    const known = topic.fences.get(producer);
    const last = known?.epoch === epoch ? known.last : [];
    topic.fences.set(producer, {
      epoch,
      next: seq + 1,
      last: [...last, { seq, body }].slice(-KEPT_REPEATS),
    });
  }

  function handleAppend(topic, query, bytes) {
    const end = topic.records.length;
    const answer = checkFence(topic, query);
    if (answer !== undefined) return answer;
    const at = query.get("at");
    if (at !== null && Number(at) !== end) {
      return { status: 412, body: { end } };
    }
    const body = append(topic, split(bytes));
    recordFence(topic, query, body);
    return { status: 200, body };
  }

  async function handleRead(topic, query, res) {
    const from = Number(query.get("from"));
    if (from > topic.records.length) {
      return json(res, 410, { first: 0 });
    }
    const waitMs = Number(query.get("waitMs") ?? 0);
    if (from === topic.records.length && waitMs > 0) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, waitMs);
        topic.waiting.add(wake);
        res.once("close", wake);
      });
    }
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    const records = topic.records.slice(from).map((record) => {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(record.length);
      return Buffer.concat([length, record]);
    });
    res.end(Buffer.concat([head, ...records]));
  }

  async function handle(req, res) {
    const parts = [];
    for await (const part of req) parts.push(part);
    const url = new URL(req.url, "http://store");
    const query = url.searchParams;
    const topic = topicOf(query.get("topic"));
    if (url.pathname === "/v1/log-append") {
      const answer = handleAppend(topic, query, Buffer.concat(parts));
      return json(res, answer.status, answer.body);
    }
    if (url.pathname === "/v1/log-read") return handleRead(topic, query, res);
    if (url.pathname === "/v1/log-newest") {
      return json(res, 200, newestOf(topic));
    }
    json(res, 404, {});
  }

  return {
    async listen(host) {
      const server = createServer((req, res) => {
        handle(req, res).catch(() => res.destroy());
      });
      await new Promise((resolve) => server.listen(0, host, resolve));
      servers.push(server);
      return { host, port: server.address().port };
    },
    /** Writes a record as the operator does. */
    put(name, key, value) {
      append(topicOf(name), [recordOf(key, JSON.stringify(value))]);
    },
    /** Newest value of a key, decoded. */
    get(name, key) {
      const record = topicOf(name).records.findLast((one) =>
        keyOf(one) === key
      );
      if (record === undefined) return undefined;
      const value = record.subarray(1 + record[0]);
      return value.length === 0 ? undefined : JSON.parse(value.toString());
    },
    close() {
      for (const server of servers) {
        server.closeAllConnections();
        server.close();
      }
    },
  };
}

function recordOf(key, value) {
  const bytes = Buffer.from(key);
  return Buffer.concat([
    Buffer.from([bytes.length]),
    bytes,
    Buffer.from(value),
  ]);
}

function keyOf(record) {
  return record.subarray(1, 1 + record[0]).toString();
}

function split(bytes) {
  const records = [];
  for (let at = 0; at + 4 <= bytes.length;) {
    const length = bytes.readUInt32BE(at);
    records.push(bytes.subarray(at + 4, at + 4 + length));
    at += 4 + length;
  }
  return records;
}

function newestOf(topic) {
  const newest = new Map();
  topic.records.forEach((record, offset) => {
    const key = keyOf(record);
    const value = record.subarray(1 + record[0]);
    newest.delete(key);
    if (value.length === 0) return;
    newest.set(key, { key, value: value.toString("base64"), offset });
  });
  const items = [...newest.values()].sort((a, b) => a.key < b.key ? -1 : 1);
  return { items, hasMore: false, end: topic.records.length };
}

function json(res, status, body) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}
