/**
 * Stand-in of the platform's store: a log with keyed topics, as PROTOCOL.md
 * describes it. Only partition 0 is used.
 */
import { Buffer } from "node:buffer";
import { createServer } from "node:http";

export async function startStore({ ip, port, answerMs = 4 }) {
  const topics = new Map();
  let isSilent = false;

  function topicOf(name) {
    let topic = topics.get(name);
    if (topic === undefined) {
      topic = {
        records: [],
        newest: new Map(),
        wakes: new Set(),
        fences: new Map(),
      };
      topics.set(name, topic);
    }
    return topic;
  }

  function append(topic, contents) {
    const offset = topic.records.length;
    for (const content of contents) {
      const at = topic.records.push(content) - 1;
      const keyLength = content[0] ?? 0;
      const key = content.subarray(1, 1 + keyLength).toString();
      const value = content.subarray(1 + keyLength);
      if (value.length === 0) topic.newest.delete(key);
      else {topic.newest.set(key, {
          key,
          value: value.toString("base64"),
          offset: at,
        });}
    }
    for (const wake of [...topic.wakes]) wake();
    return offset;
  }

  function json(res, status, value) {
    res.writeHead(status, { "content-type": "application/json" });
    res.end(JSON.stringify(value));
  }

  function split(body) {
    const contents = [];
    for (let at = 0; at + 4 <= body.length;) {
      const length = body.readUInt32BE(at);
      contents.push(body.subarray(at + 4, at + 4 + length));
      at += 4 + length;
    }
    return contents;
  }

  function handleAppend(query, body, res) {
    const name = query.get("topic");
    if (name === "keyed.op" || name === "keyed.servers") {
      return json(res, 403, {});
    }
    const topic = topicOf(name);
    const end = topic.records.length;
    if (query.has("at") && Number(query.get("at")) !== end) {
      return json(res, 412, { end });
    }
    if (query.has("producer")) {
      const producer = query.get("producer");
      const epoch = Number(query.get("epoch"));
      const sequence = Number(query.get("sequence"));
      const known = topic.fences.get(producer);
      if (known !== undefined && epoch < known.epoch) {
        return json(res, 409, { why: "fenced" });
      }
      if (known !== undefined && epoch === known.epoch) {
        const repeat = known.last.find((one) => one.sequence === sequence);
        if (repeat !== undefined) return json(res, 200, repeat.answer);
        if (sequence !== known.sequence + 1) {
          return json(res, 409, { why: "seq", expected: known.sequence + 1 });
        }
      }
      const offset = append(topic, split(body));
      const answer = { offset, end: topic.records.length };
      const last = known?.epoch === epoch ? known.last : [];
      topic.fences.set(producer, {
        epoch,
        sequence,
        last: [...last, { sequence, answer }].slice(-5),
      });
      return json(res, 200, answer);
    }
    const offset = append(topic, split(body));
    json(res, 200, { offset, end: topic.records.length });
  }

  async function handleRead(query, res) {
    const topic = topicOf(query.get("topic"));
    const from = Number(query.get("from"));
    if (from > topic.records.length) return json(res, 410, { first: 0 });
    if (from === topic.records.length) {
      const waitMs = Number(query.get("waitMs") ?? 0);
      await new Promise((resolve) => {
        const done = () => {
          clearTimeout(timer);
          topic.wakes.delete(done);
          resolve();
        };
        const timer = setTimeout(done, waitMs);
        topic.wakes.add(done);
        res.once("close", done);
      });
    }
    if (isSilent) return;
    const head = Buffer.alloc(16);
    head.writeBigUInt64BE(BigInt(topic.records.length));
    const parts = [head];
    for (const content of topic.records.slice(from)) {
      const length = Buffer.alloc(4);
      length.writeUInt32BE(content.length);
      parts.push(length, content);
    }
    res.writeHead(200);
    res.end(Buffer.concat(parts));
  }

  const server = createServer(async (req, res) => {
    const url = new URL(req.url, "http://store");
    const parts = [];
    for await (const part of req) parts.push(part);
    // A store that is down: nothing is done, and nothing is answered.
    if (isSilent) return;
    await new Promise((resolve) => setTimeout(resolve, answerMs));
    res.setHeader("Store-Era", "1");
    switch (url.pathname) {
      case "/v1/log-append":
        return handleAppend(url.searchParams, Buffer.concat(parts), res);
      case "/v1/log-read":
        return await handleRead(url.searchParams, res);
      case "/v1/log-newest": {
        const topic = topicOf(url.searchParams.get("topic"));
        const after = url.searchParams.get("after") ?? "";
        const items = [...topic.newest.values()]
          .filter(({ key }) => key > after)
          .sort((a, b) => (a.key < b.key ? -1 : 1));
        const page = items.slice(0, 500);
        return json(res, 200, {
          items: page,
          hasMore: items.length > page.length,
          end: topic.records.length,
        });
      }
      default:
        return json(res, 404, {});
    }
  });
  await new Promise((resolve, reject) => {
    server.once("error", reject);
    server.listen(port, ip, resolve);
  });
  return {
    address: `${ip}:${port}`,
    /** Writes a record as the operator does. */
    put(topic, key, value) {
      const name = Buffer.from(key);
      append(topicOf(topic), [
        Buffer.concat([
          Buffer.from([name.length]),
          name,
          Buffer.from(JSON.stringify(value)),
        ]),
      ]);
    },
    newest(topic, key) {
      const item = topicOf(topic).newest.get(key);
      return item && JSON.parse(Buffer.from(item.value, "base64").toString());
    },
    /** Takes the store down, also for the reads that wait, or brings it back. */
    setSilent(next) {
      isSilent = next;
      if (!next) server.closeAllConnections();
    },
    close() {
      server.closeAllConnections();
      server.close();
    },
  };
}
