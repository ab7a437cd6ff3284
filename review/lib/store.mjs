/**
 * Stand-in for the platform's store: keyed topics of one partition, as
 * PROTOCOL.md describes them.
 * @module
 */
import { createServer } from "node:http";

const LENGTH_BYTES = 4;
const PAGE_HEAD_BYTES = 16;

/** Decodes records: 4 bytes of length, 1 byte of key length, key, value. */
function decodeRecords(bytes) {
  const records = [];
  for (let at = 0; at + LENGTH_BYTES <= bytes.length;) {
    const end = at + LENGTH_BYTES + bytes.readUInt32BE(at);
    const body = bytes.subarray(at + LENGTH_BYTES, end);
    const keyLength = body[0] ?? 0;
    records.push({
      key: body.subarray(1, 1 + keyLength).toString(),
      value: body.subarray(1 + keyLength),
    });
    at = end;
  }
  return records;
}

function encodeRecord({ key, value }) {
  const keyBytes = Buffer.from(key);
  const head = Buffer.alloc(LENGTH_BYTES + 1);
  head.writeUInt32BE(1 + keyBytes.length + value.length);
  head.writeUInt8(keyBytes.length, LENGTH_BYTES);
  return Buffer.concat([head, keyBytes, value]);
}

function answerJson(res, status, body) {
  res.writeHead(status, { "content-type": "application/json" });
  res.end(JSON.stringify(body));
}

/** Starts the store on loopback. */
export async function startStore() {
  const topics = new Map();

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
    return offset;
  }

  function handleAppend(topic, query, body, res) {
    const end = topic.records.length;
    const at = query.get("at");
    if (at !== null && Number(at) !== end) return answerJson(res, 412, { end });
    const producer = query.get("producer");
    if (producer !== null) {
      const epoch = Number(query.get("epoch"));
      const sequence = Number(query.get("sequence"));
      const fence = topic.fences.get(producer);
      if (fence !== undefined && epoch < fence.epoch) {
        return answerJson(res, 409, { why: "fenced" });
      }
      if (fence?.epoch === epoch && sequence !== fence.sequence + 1) {
        const expected = fence.sequence + 1;
        return answerJson(res, 409, { why: "seq", sequence: expected });
      }
      topic.fences.set(producer, { epoch, sequence });
    }
    const offset = append(topic, decodeRecords(body));
    answerJson(res, 200, { offset, end: topic.records.length });
  }

  async function handleRead(topic, query, res) {
    const from = Number(query.get("from"));
    if (from >= topic.records.length) {
      await new Promise((resolve) => {
        const wake = () => {
          clearTimeout(timer);
          topic.waiting.delete(wake);
          resolve();
        };
        const timer = setTimeout(wake, Number(query.get("waitMs") ?? 0));
        topic.waiting.add(wake);
        res.once("close", wake);
      });
    }
    const head = Buffer.alloc(PAGE_HEAD_BYTES);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    const records = topic.records.slice(from).map(encodeRecord);
    res.end(Buffer.concat([head, ...records]));
  }

  function handleNewest(topic, res) {
    const newest = new Map();
    topic.records.forEach(({ key, value }, offset) => {
      if (value.length === 0) newest.delete(key);
      else newest.set(key, { key, value: value.toString("base64"), offset });
    });
    const items = [...newest.values()];
    answerJson(res, 200, { items, hasMore: false, end: topic.records.length });
  }

  async function handle(req, res) {
    const parts = [];
    for await (const part of req) parts.push(part);
    const url = new URL(req.url, "http://store");
    const query = url.searchParams;
    const topic = topicOf(query.get("topic"));
    switch (url.pathname) {
      case "/v1/log-append":
        return handleAppend(topic, query, Buffer.concat(parts), res);
      case "/v1/log-read":
        return await handleRead(topic, query, res);
      case "/v1/log-newest":
        return handleNewest(topic, res);
      default:
        return answerJson(res, 404, {});
    }
  }

  const server = createServer((req, res) => {
    handle(req, res).catch(() => res.destroy());
  });
  await new Promise((resolve) => server.listen(0, "127.0.0.1", resolve));
  return {
    address: `127.0.0.1:${server.address().port}`,
    /** Writes a record as the operator does. */
    put(topic, key, value) {
      const bytes = Buffer.from(JSON.stringify(value));
      append(topicOf(topic), [{ key, value: bytes }]);
    },
    /** All values of a key, oldest first. */
    history(topic, key) {
      return topicOf(topic).records
        .filter((record) => record.key === key)
        .map(({ value }) => JSON.parse(value.toString()));
    },
  };
}
