/**
 * Encodes what nodes tell each other of the fleet as MessagePack arrays. These
 * messages come from other processes in large numbers, so their fields are
 * encoded by position, and checked when they are decoded.
 * @module
 */
import { isAddress } from "../core/is_address.ts";
import type {
  DomainDigest,
  LostNotice,
  NodeRow,
  RowEndpoint,
} from "../fleet/messages.ts";
import type { StoppedInstance } from "../local_endpoint/state.ts";
import type { ReaderBeat } from "../reader_election/apply_beat.ts";
import { ReaderStatus } from "../reader_election/state.ts";

type Fields = readonly unknown[];

const READER_STATUSES: ReadonlySet<unknown> = new Set(
  Object.values(ReaderStatus),
);

export function rowFields(row: NodeRow): Fields {
  const { endpoint, gone } = row;
  return [
    row.node,
    row.domain,
    row.life,
    row.startedAt,
    row.revision,
    endpoint === undefined ? null : [
      endpoint.id,
      endpoint.service,
      endpoint.version,
      endpoint.slots,
      Math.round(endpoint.coldMs),
    ],
    (gone ?? []).map(({ id, bornAt }) => [id, bornAt]),
  ];
}

/** Throws if the value is not an encoded row. */
export function rowOf(value: unknown): NodeRow {
  const [node, domain, life, startedAt, revision, endpoint, gone] = listOf(
    value,
  );
  return {
    node: addressOf(node),
    domain: textOf(domain),
    life: textOf(life),
    startedAt: numberOf(startedAt),
    revision: numberOf(revision),
    endpoint: endpoint === null ? undefined : endpointOf(endpoint),
    gone: listOf(gone).map(stoppedOf),
  };
}

function endpointOf(value: unknown): RowEndpoint {
  const [id, service, version, slots, coldMs] = listOf(value);
  return {
    id: textOf(id),
    service: textOf(service),
    version: textOf(version),
    slots: numberOf(slots),
    coldMs: numberOf(coldMs),
  };
}

function stoppedOf(value: unknown): StoppedInstance {
  const [id, bornAt] = listOf(value);
  return { id: textOf(id), bornAt: numberOf(bornAt) };
}

export function noticeFields(notice: LostNotice): Fields {
  return [notice.node, notice.life, notice.revision];
}

/** Reads the notice after the first field, which holds the message's kind. */
export function noticeOf(fields: Fields): LostNotice {
  return {
    node: addressOf(fields[1]),
    life: textOf(fields[2]),
    revision: numberOf(fields[3]),
  };
}

export function digestFields(digest: DomainDigest): Fields {
  return [digest.domain, digest.count, digest.hash];
}

export function digestOf(value: unknown): DomainDigest {
  const [domain, count, hash] = listOf(value);
  return {
    domain: textOf(domain),
    count: numberOf(count),
    hash: numberOf(hash),
  };
}

export function beatFields(beat: ReaderBeat): Fields {
  const { node, domain, startedAt, seq, readerStatus, end } = beat;
  return [node, domain, startedAt, seq, readerStatus, end];
}

export function beatOf(value: unknown): ReaderBeat {
  const [node, domain, startedAt, seq, readerStatus, end] = listOf(value);
  if (!READER_STATUSES.has(readerStatus)) {
    throw new TypeError(`no reader has the status ${String(readerStatus)}`);
  }
  return {
    node: addressOf(node),
    domain: textOf(domain),
    startedAt: numberOf(startedAt),
    seq: numberOf(seq),
    readerStatus: readerStatus as ReaderStatus,
    end: numberOf(end),
  };
}

export function listOf(value: unknown): Fields {
  if (!Array.isArray(value)) throw new TypeError("a list is expected");
  return value;
}

export function numberOf(value: unknown): number {
  if (typeof value !== "number" || !Number.isFinite(value)) {
    throw new TypeError("a number is expected");
  }
  return value;
}

export function textOf(value: unknown): string {
  if (typeof value !== "string") throw new TypeError("a text is expected");
  return value;
}

function addressOf(value: unknown): string {
  const text = textOf(value);
  if (!isAddress(text)) throw new TypeError("an address is expected");
  return text;
}
