/**
 * JSON forms of the gossip messages. Arrays instead of objects keep them
 * short. The schemas validate incoming messages.
 */
import {z} from 'zod';
import type {MemberId} from '../types/ids.js';
import type {JsonValue} from '../replication/replicated_log.js';
import type {Delta, Digest} from './digest.js';
import type {Item, ItemKind, QuarantineEntry} from './items.js';
import {decodeQuarantine, encodeQuarantine} from './items.js';
import {hash32} from './polling.js';

/** The method of one push-pull exchange inside a domain. */
export const EXCHANGE_METHOD = 'membership.exchange';
/** The method that pushes the deltas requested by the answer to an exchange. */
export const PUSH_METHOD = 'membership.push';
/** The method that sends the summary of a domain to another. */
export const SUMMARY_METHOD = 'membership.summary';
/** The method that tells another domain of a quarantine ahead of its summary. */
export const QUARANTINE_METHOD = 'membership.quarantine';

const itemSchema = z.tuple([
  z.number().int().min(0),
  z.string(),
  z.number().int().min(0),
  z.unknown(),
]);
/** Member id of the origin, sequence number, items, time without progress. */
const deltaSchema = z
  .tuple([z.string(), z.number().int().min(0)])
  .rest(z.union([z.number(), z.array(itemSchema)]));
/**
 * Items of one packed delta and its time without progress; 0 if it has neither.
 */
const packedItemsSchema = z.union([
  z.literal(0),
  z.tuple([z.array(itemSchema), z.number()]),
  z.tuple([z.array(itemSchema)]),
]);
/** Packed deltas: `s` has their origins and sequence numbers as base64. */
const packedSchema = z.object({s: z.string(), u: z.array(packedItemsSchema)});
const longDigestSchema = z.array(z.tuple([z.string(), z.number()]));
const quarantineSchema = z.tuple([z.string(), z.unknown()]);

/**
 * Parameters of `EXCHANGE_METHOD`: the digest of the caller. The short form is
 * a hash of the sorted member ids of its origins, and their sequence numbers in
 * that order. The long form lists the member ids, for a peer that has a
 * different set of origins.
 */
export const exchangeSchema = z.union([
  z.object({h: z.number(), s: z.string()}),
  z.object({n: longDigestSchema}),
]);
/**
 * Parameters of `PUSH_METHOD`: the receiver, the hash of the member ids in the
 * short form, and the deltas.
 */
export const pushSchema = z.union([
  packedSchema.extend({to: z.string(), h: z.number()}),
  z.object({to: z.string(), u: z.array(deltaSchema)}),
]);
/**
 * Parameters of `SUMMARY_METHOD`: the sender's exported items that changed
 * after the sequence number `b`, and quarantine entries.
 */
export const summarySchema = z.object({
  b: z.number(),
  u: deltaSchema,
  q: z.array(quarantineSchema),
});

/** Parameters of `QUARANTINE_METHOD`: quarantine entries. */
export const quarantineNoticeSchema = z.object({
  q: z.array(quarantineSchema),
});

export type WireExchange = z.infer<typeof exchangeSchema>;
export type WirePush = z.infer<typeof pushSchema>;
export type WireDelta = z.infer<typeof deltaSchema>;
export type PackedDeltas = z.infer<typeof packedSchema>;
export type WireQuarantine = z.infer<typeof quarantineSchema>;

/**
 * The answer to an exchange, in the same form as the request: `from` is the
 * member that answers, `u` its deltas, and `w` the origins for which it
 * requests deltas. In the short form `w` has the distance to the caller's
 * sequence number, in the long form the sequence number of the member that
 * answers. An answer with only `from` means that the sets of origins differ,
 * and the caller must use the long form.
 */
export type ExchangeAnswer =
  | {readonly from: string}
  | (PackedDeltas & {readonly from: string; readonly w: string})
  | {
      readonly from: string;
      readonly u: WireDelta[];
      readonly w: [string, number][];
    };

/**
 * The answer to a summary: refused if the receiver lacks the items before `b`.
 */
export interface SummaryAnswer {
  readonly refused?: boolean;
}

const SEQ_BYTES = 3;
const SEQ_RANGE = 2 ** (8 * SEQ_BYTES);
/** Encodes every distance that does not fit into one byte. */
const MAX_ENCODED_LAG = 255;

/** The sorted member ids of the origins in a digest, with their hash. */
export class OriginNames {
  readonly ids: readonly MemberId[];
  readonly hash: number;
  private readonly indexes: ReadonlyMap<MemberId, number>;

  constructor(digest: Digest) {
    this.ids = [...digest.keys()].sort();
    this.hash = hash32(this.ids.join());
    this.indexes = new Map(this.ids.map((id, index) => [id, index]));
  }

  indexOf(id: MemberId): number | undefined {
    return this.indexes.get(id);
  }
}

/** The sequence numbers of a digest, each modulo `SEQ_RANGE`. */
export function encodeSeqs(digest: Digest, names: OriginNames): string {
  const bytes = Buffer.alloc(names.ids.length * SEQ_BYTES);
  names.ids.forEach((id, index) =>
    bytes.writeUIntBE(
      (digest.get(id) ?? 0) % SEQ_RANGE,
      index * SEQ_BYTES,
      SEQ_BYTES,
    ),
  );
  return bytes.toString('base64');
}

/**
 * The sequence number with these low bits that is closest to a known one. It is
 * unambiguous, since an origin needs weeks for `SEQ_RANGE` changes and is
 * removed within minutes.
 */
function nearestSeq(low: number, known: number): number {
  const near = known + ((low - (known % SEQ_RANGE) + SEQ_RANGE) % SEQ_RANGE);
  const seq = near - known > SEQ_RANGE / 2 ? near - SEQ_RANGE : near;
  return Math.max(0, seq);
}

/** Decodes the result of `encodeSeqs`, relative to the own digest. */
export function decodeSeqs(
  text: string,
  own: Digest,
  names: OriginNames,
): Digest {
  const bytes = Buffer.from(text, 'base64');
  return new Map(
    names.ids.map((id, index) => {
      const low = bytes.readUIntBE(index * SEQ_BYTES, SEQ_BYTES);
      return [id, nearestSeq(low, own.get(id) ?? 0)];
    }),
  );
}

/**
 * Per wanted origin, how far the own sequence number is behind the caller's
 * digest.
 */
export function encodeWants(
  wants: Digest,
  asked: Digest,
  names: OriginNames,
): string {
  const bytes = names.ids.map(id => {
    const known = wants.get(id);
    if (known === undefined) return 0;
    return Math.min(MAX_ENCODED_LAG, (asked.get(id) ?? 0) - known);
  });
  return Buffer.from(bytes).toString('base64');
}

/**
 * Sequence numbers from which the peer requests deltas; 0 if too far behind to
 * encode.
 */
export function decodeWants(
  text: string,
  asked: Digest,
  names: OriginNames,
): Digest {
  const bytes = Buffer.from(text, 'base64');
  return new Map(
    names.ids
      .map((id, index): [MemberId, number] => [id, bytes[index] ?? 0])
      .filter(([, behind]) => behind > 0)
      .map(([id, behind]) => [
        id,
        behind === MAX_ENCODED_LAG ? 0 : (asked.get(id) ?? 0) - behind,
      ]),
  );
}

export function decodeLongDigest(wire: readonly [string, number][]): Digest {
  return new Map(wire.map(([memberId, seq]) => [memberId as MemberId, seq]));
}

type WireItem = z.infer<typeof itemSchema>;

function encodeItems(delta: Delta): WireItem[] {
  return delta.items.map(item => [
    item.kind,
    item.key,
    delta.seq - item.seq,
    item.value,
  ]);
}

function decodeItems(items: readonly WireItem[], seq: number): Item[] {
  return items.map(([kind, key, offset, value]) => ({
    kind: kind as ItemKind,
    key,
    seq: seq - offset,
    value: value as JsonValue,
  }));
}

/** A delta in the long form. */
export function encodeDelta(delta: Delta): WireDelta {
  return [delta.memberId, delta.seq, encodeItems(delta), delta.quietMs];
}

/** The delta in a message. */
export function decodeDelta([id, seq, items, quietMs]: WireDelta): Delta {
  return {
    memberId: id as MemberId,
    seq,
    quietMs: Number(quietMs ?? 0),
    items: Array.isArray(items) ? decodeItems(items, seq) : [],
  };
}

const INDEX_BYTES = 2;
const PACKED_BYTES = INDEX_BYTES + SEQ_BYTES;

/**
 * Encodes deltas in the short form, for a peer with the same set of origins.
 */
export function packDeltas(
  deltas: readonly Delta[],
  names: OriginNames,
): PackedDeltas {
  const bytes = Buffer.alloc(deltas.length * PACKED_BYTES);
  deltas.forEach(({memberId, seq}, index) => {
    const at = index * PACKED_BYTES;
    bytes.writeUIntBE(names.indexOf(memberId) ?? 0, at, INDEX_BYTES);
    bytes.writeUIntBE(seq % SEQ_RANGE, at + INDEX_BYTES, SEQ_BYTES);
  });
  const u = deltas.map((delta): PackedDeltas['u'][number] => {
    if (delta.quietMs > 0) return [encodeItems(delta), delta.quietMs];
    return delta.items.length === 0 ? 0 : [encodeItems(delta)];
  });
  return {s: bytes.toString('base64'), u};
}

/** Decodes the result of `packDeltas`, relative to the own digest. */
export function unpackDeltas(
  {s, u}: PackedDeltas,
  own: Digest,
  names: OriginNames,
): Delta[] {
  const bytes = Buffer.from(s, 'base64');
  return u.flatMap((packed, index) => {
    const at = index * PACKED_BYTES;
    const memberId = names.ids[bytes.readUIntBE(at, INDEX_BYTES)];
    if (memberId === undefined) return [];
    const low = bytes.readUIntBE(at + INDEX_BYTES, SEQ_BYTES);
    const seq = nearestSeq(low, own.get(memberId) ?? 0);
    const [items, quietMs] = packed === 0 ? [[], 0] : packed;
    return {
      memberId,
      seq,
      quietMs: quietMs ?? 0,
      items: decodeItems(items, seq),
    };
  });
}

export function encodeQuarantineEntry(entry: QuarantineEntry): WireQuarantine {
  return [entry.digest, encodeQuarantine(entry)];
}

export function decodeQuarantineEntry([digest, value]: WireQuarantine):
  QuarantineEntry | undefined {
  return decodeQuarantine(digest, value as JsonValue);
}
