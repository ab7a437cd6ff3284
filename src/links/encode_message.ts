/**
 * Encodes messages between nodes as MessagePack arrays.
 *
 * Traffic between failure domains is expensive, so calls and their events are
 * encoded by position, without field names. Rare messages keep their names.
 * @module
 */
import { deflateRawSync, inflateRawSync } from "node:zlib";
import { Packr } from "msgpackr";
import * as v from "valibot";
import { allowanceSchema } from "../allowance/messages.ts";
import type { CallAccount } from "../accounts/state.ts";
import type { AttemptEvent, OfferedCall } from "../calls/state.ts";
import { exhausted } from "../core/exhausted.ts";
import { quarantineSchema } from "../quarantine/messages.ts";
import type { QueueReport } from "../queue/state.ts";
import type { ReaderStatus } from "../reader_election/state.ts";
import type { KeyedRecord } from "../store/state.ts";
import {
  beatFields,
  beatOf,
  digestFields,
  digestOf,
  listOf,
  noticeFields,
  noticeOf,
  numberOf,
  rowFields,
  rowOf,
  textOf,
} from "./encode_fleet.ts";
import type { LinkMessage, NodeStatus } from "./messages.ts";

/** First element of an encoded message. */
const Kind = {
  Offer: 0,
  Body: 1,
  BodyEnd: 2,
  Cancel: 3,
  Event: 4,
  Ping: 5,
  Pong: 6,
  Named: 7,
  Operator: 8,
  Hello: 9,
  Rows: 10,
  Lost: 11,
  Digest: 12,
  Beats: 13,
  LimitAnswer: 14,
} as const;

const EventKind = {
  Admitted: 0,
  Overdue: 1,
  Refused: 2,
  Failed: 3,
  Answered: 4,
  Chunk: 5,
  Ended: 6,
} as const;

const packr = new Packr({ useRecords: false });

/** Limit for the decompressed records of one message, in bytes. */
const MAX_RECORD_BYTES = 16 * 1_024 * 1_024;

/** Compressed bytes by list of records: one list is sent to many nodes. */
const compressed = new WeakMap<readonly KeyedRecord[], Buffer>();

type Fields = readonly unknown[];

export function encodeMessage(message: LinkMessage): Buffer {
  return packr.pack(fieldsOf(message));
}

/** Throws on malformed bytes. The caller then closes the link. */
export function decodeMessage(bytes: Buffer): LinkMessage {
  const fields = packr.unpack(bytes) as Fields;
  if (!Array.isArray(fields)) throw new TypeError("a message is an array");
  return messageOf(fields);
}

function fieldsOf(message: LinkMessage): Fields {
  switch (message.type) {
    case "offer":
      return [Kind.Offer, message.key, ...callFields(message.call)];
    case "body":
      return [Kind.Body, message.key, message.chunk];
    case "body-end":
      return [Kind.BodyEnd, message.key];
    case "cancel":
      return [Kind.Cancel, message.key];
    case "limit-answer":
      return [Kind.LimitAnswer, message.key, Math.round(message.leftMs)];
    case "event":
      return [
        Kind.Event,
        message.key,
        ...reportFields(message.report),
        Math.round(message.heldMs),
        Math.round(message.lagMs),
        ...eventFields(message.event),
      ];
    case "ping":
      return [Kind.Ping, ...statusFields(message)];
    case "pong":
      return [Kind.Pong, ...statusFields(message)];
    case "hello":
      return [
        Kind.Hello,
        message.protocol,
        message.isNeighbor,
        rowFields(message.row),
      ];
    case "rows":
      return [Kind.Rows, message.rows.map(rowFields)];
    case "lost":
      return [Kind.Lost, ...noticeFields(message.notice)];
    case "digest":
      return [Kind.Digest, message.isAnswer, message.domains.map(digestFields)];
    case "beats":
      return [Kind.Beats, message.beats.map(beatFields)];
    case "recall":
    case "ask-rows":
    case "ask-operator":
    case "move-step":
    case "move-report":
    case "move-fault":
    case "quarantine/rows":
    case "allowance/join":
    case "allowance/beat":
    case "allowance/lease":
    case "allowance/ask":
    case "allowance/grant":
      return [Kind.Named, message];
    case "operator": {
      const { from, end, records } = message;
      return [Kind.Operator, from, end, compress(records)];
    }
    default:
      return exhausted(message);
  }
}

function messageOf(fields: Fields): LinkMessage {
  const key = fields[1] as number;
  switch (fields[0]) {
    case Kind.Offer:
      return { type: "offer", key, call: callOf(fields.slice(2)) };
    case Kind.Body:
      return { type: "body", key, chunk: fields[2] as Buffer };
    case Kind.BodyEnd:
      return { type: "body-end", key };
    case Kind.Cancel:
      return { type: "cancel", key };
    case Kind.LimitAnswer:
      return { type: "limit-answer", key, leftMs: numberOf(fields[2]) };
    case Kind.Event:
      return {
        type: "event",
        key,
        report: reportOf(fields, 2),
        heldMs: fields[8] as number,
        lagMs: fields[9] as number,
        event: eventOf(fields.slice(10)),
      };
    case Kind.Ping:
      return { type: "ping", ...statusOf(fields) };
    case Kind.Pong:
      return { type: "pong", ...statusOf(fields) };
    case Kind.Named:
      return namedMessage(fields[1]);
    case Kind.Hello:
      return {
        type: "hello",
        protocol: numberOf(fields[1]),
        isNeighbor: fields[2] === true,
        row: rowOf(fields[3]),
      };
    case Kind.Rows:
      return { type: "rows", rows: listOf(fields[1]).map(rowOf) };
    case Kind.Lost:
      return { type: "lost", notice: noticeOf(fields) };
    case Kind.Digest:
      return {
        type: "digest",
        isAnswer: fields[1] === true,
        domains: listOf(fields[2]).map(digestOf),
      };
    case Kind.Beats:
      return { type: "beats", beats: listOf(fields[1]).map(beatOf) };
    case Kind.Operator:
      return {
        type: "operator",
        from: fields[1] as number,
        end: fields[2] as number,
        records: decompress(fields[3] as Buffer),
      };
    default:
      throw new TypeError(`no message has the kind ${String(fields[0])}`);
  }
}

/** Messages that are rare, and so are sent with the names of their fields. */
const NAMED_TYPES: ReadonlySet<unknown> = new Set([
  "recall",
  "ask-rows",
  "ask-operator",
  "move-step",
  "move-report",
  "move-fault",
  "quarantine/rows",
  "allowance/join",
  "allowance/beat",
  "allowance/lease",
  "allowance/ask",
  "allowance/grant",
]);

function namedMessage(value: unknown): LinkMessage {
  const { type } = value as LinkMessage;
  if (!NAMED_TYPES.has(type)) {
    throw new TypeError(
      `message "${String(type)}" is from another version of the protocol`,
    );
  }
  if (type === "quarantine/rows") v.assert(quarantineSchema, value);
  if (type.startsWith("allowance/")) v.assert(allowanceSchema, value);
  return value as LinkMessage;
}

/**
 * Compresses operators' records. A routing table is repetitive, and one node
 * sends it to each node of its failure domain.
 */
function compress(records: readonly KeyedRecord[]): Buffer {
  const known = compressed.get(records);
  if (known !== undefined) return known;
  const fields = records.map(({ key, value }) => [key, value]);
  const bytes = deflateRawSync(packr.pack(fields), { level: 1 });
  compressed.set(records, bytes);
  return bytes;
}

function decompress(bytes: Buffer): KeyedRecord[] {
  const packed = inflateRawSync(bytes, { maxOutputLength: MAX_RECORD_BYTES });
  const fields = packr.unpack(packed) as [string, Buffer | undefined | null][];
  return fields.map(([key, value]) => ({ key, value: value ?? undefined }));
}

function statusFields(status: NodeStatus): Fields {
  return [
    ...reportFields(status.report),
    status.operatorEnd,
    status.readerStatus,
    Math.round(status.lagMs),
  ];
}

function statusOf(fields: Fields): NodeStatus {
  return {
    report: reportOf(fields, 1),
    operatorEnd: fields[7] as number,
    readerStatus: fields[8] as ReaderStatus,
    lagMs: fields[9] as number,
  };
}

function reportFields(report: QueueReport): Fields {
  return [
    report.running,
    report.waiting,
    report.meanMs,
    report.routeMs,
    report.pacePercent,
    report.startsLeft,
  ];
}

function reportOf(fields: Fields, at: number): QueueReport {
  return {
    running: fields[at] as number,
    waiting: fields[at + 1] as number,
    meanMs: fields[at + 2] as number,
    routeMs: fields[at + 3] as number,
    pacePercent: (fields[at + 4] ?? undefined) as number | undefined,
    startsLeft: (fields[at + 5] ?? undefined) as number | undefined,
  };
}

function callFields(call: OfferedCall): Fields {
  return [
    call.id,
    call.method,
    call.target,
    call.headers,
    call.service,
    call.version,
    call.route,
    call.urgency,
    call.isNested,
    call.callerService,
    Math.round(call.leftMs),
    Math.round(call.objectiveLeftMs),
    call.mayBeLate,
    call.body,
    call.bodyBytes,
    call.crashes,
    accountFields(call.account),
    call.parentUsedMs,
    call.deadlineRatio === undefined
      ? undefined
      : Math.round(call.deadlineRatio * 10),
  ];
}

function callOf(fields: Fields): OfferedCall {
  return {
    id: fields[0] as string,
    method: fields[1] as string,
    target: fields[2] as string,
    headers: fields[3] as string[],
    service: fields[4] as string,
    version: fields[5] as string,
    route: fields[6] as string,
    urgency: fields[7] as number,
    isNested: fields[8] as boolean,
    callerService: fields[9] as string,
    leftMs: fields[10] as number,
    objectiveLeftMs: fields[11] as number,
    mayBeLate: fields[12] as boolean,
    body: (fields[13] ?? undefined) as Buffer | undefined,
    bodyBytes: (fields[14] ?? undefined) as number | undefined,
    crashes: fields[15] as number,
    account: accountOf(fields[16]),
    parentUsedMs: (fields[17] ?? undefined) as number | undefined,
    deadlineRatio: tenthsOf(fields[18]),
  };
}

function tenthsOf(value: unknown): number | undefined {
  return typeof value === "number" ? value / 10 : undefined;
}

function accountFields(account: CallAccount | undefined): Fields | undefined {
  if (account === undefined) return undefined;
  const { name, urgency, keyHash, tableVersion } = account;
  return [name, urgency, keyHash, tableVersion];
}

function accountOf(value: unknown): CallAccount | undefined {
  if (value === undefined || value === null) return undefined;
  const [name, urgency, keyHash, tableVersion] = listOf(value);
  return {
    name: textOf(name),
    urgency: numberOf(urgency),
    keyHash: numberOf(keyHash),
    tableVersion: numberOf(tableVersion),
  };
}

function eventFields(event: AttemptEvent): Fields {
  switch (event.type) {
    case "admitted":
      return [EventKind.Admitted];
    case "overdue":
      return [EventKind.Overdue];
    case "refused": {
      const { by, reason, waitMs } = event.refusal;
      return [EventKind.Refused, by, reason, waitMs];
    }
    case "failed": {
      const { reason, isTimeout, crashes } = event.failure;
      return [EventKind.Failed, reason, isTimeout, crashes];
    }
    case "answered":
      return [
        EventKind.Answered,
        event.head.status,
        event.head.headers,
        event.body,
      ];
    case "chunk":
      return [EventKind.Chunk, event.chunk];
    case "ended":
      return [EventKind.Ended];
    default:
      return exhausted(event);
  }
}

function eventOf(fields: Fields): AttemptEvent {
  switch (fields[0]) {
    case EventKind.Admitted:
      return { type: "admitted" };
    case EventKind.Overdue:
      return { type: "overdue" };
    case EventKind.Refused: {
      const [, by, reason, waitMs] = fields as [number, "home", string, number];
      return { type: "refused", refusal: { by, reason, waitMs } };
    }
    case EventKind.Failed: {
      const [, reason, isTimeout, crashes] = fields as [
        number,
        string,
        boolean,
        number,
      ];
      return { type: "failed", failure: { reason, isTimeout, crashes } };
    }
    case EventKind.Answered:
      return {
        type: "answered",
        head: {
          status: fields[1] as number,
          headers: fields[2] as string[],
        },
        body: (fields[3] ?? undefined) as Buffer | undefined,
      };
    case EventKind.Chunk:
      return { type: "chunk", chunk: fields[1] as Buffer };
    case EventKind.Ended:
      return { type: "ended" };
    default:
      throw new TypeError(`no event has the kind ${String(fields[0])}`);
  }
}
