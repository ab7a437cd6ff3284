import { test } from "node:test";
import assert from "node:assert/strict";
import { offeredCall } from "../testing/offered_call.ts";
import { createPacker, createUnpacker } from "./create_packer.ts";
import { encodeMessage } from "./encode_message.ts";
import type { LinkMessage } from "./messages.ts";

function createOffer(key: number): LinkMessage {
  return {
    type: "offer",
    key,
    call: offeredCall({
      id: `id-${key * 7_919}`,
      target: `/a/${key}`,
      headers: ["Host", "shop.example", "User-Agent", "client/1.0"],
      leftMs: 800 - key,
    }),
  };
}

test("messages are unpacked as they were packed, compressed or not", () => {
  for (const isCompressing of [true, false]) {
    const pack = createPacker({ isCompressing: () => isCompressing });
    const unpack = createUnpacker();
    for (let key = 0; key < 60; key++) {
      const message = key % 7 === 0
        ? { type: "cancel" as const, key }
        : createOffer(key);
      assert.deepEqual(unpack(pack(message)), message);
    }
  }
});

test("compressed call is less than half as large as the encoded one", () => {
  const pack = createPacker({ isCompressing: () => true });
  for (let key = 0; key < 40; key++) pack(createOffer(key));
  const message = createOffer(41);
  assert.ok(pack(message).length < encodeMessage(message).length / 2);
});

test("a large body is not compressed", () => {
  const pack = createPacker({ isCompressing: () => true });
  const chunk = Buffer.alloc(9_000);
  const packed = pack({ type: "body", key: 1, chunk });
  assert.ok(packed.length > chunk.length);
});

test("malformed bytes are not unpacked", () => {
  const unpack = createUnpacker();
  for (const bytes of ["", "\x09", "\x02junk"]) {
    assert.throws(() => unpack(Buffer.from(bytes, "latin1")));
  }
});
