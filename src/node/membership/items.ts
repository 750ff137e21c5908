/**
 * Items of the gossip: the values that one origin (an instance in one
 * incarnation) publishes. Each has a kind, a key and the sequence number of its
 * last change. Values are compact JSON arrays.
 */
import type {
  ConfigVersion,
  Digest,
  DomainId,
  InstanceId,
  ModelId,
  RankId,
  RegionId,
  UpstreamId,
} from '../types/ids.js';
import type {JsonValue} from '../replication/replicated_log.js';

/** The kinds of items. Only the numbers are sent on the wire. */
export const ItemKind = {
  member: 0,
  upstreamTable: 1,
  inFlight: 2,
  load: 3,
  models: 4,
  quarantine: 5,
  summary: 6,
  entries: 7,
  unreachableDomains: 8,
  catalogue: 9,
} as const;
export type ItemKind = (typeof ItemKind)[keyof typeof ItemKind];

const FOR_OTHER_DOMAINS: readonly ItemKind[] = [
  ItemKind.summary,
  ItemKind.entries,
  ItemKind.unreachableDomains,
  ItemKind.catalogue,
];

/** Whether items of this kind are used only by other domains. */
export function isForOtherDomains(kind: ItemKind): boolean {
  return FOR_OTHER_DOMAINS.includes(kind);
}

/** One versioned item. A `null` value marks it as withdrawn. */
export interface Item {
  readonly kind: ItemKind;
  readonly key: string;
  readonly seq: number;
  readonly value: JsonValue;
}

/** The state that a member declares about itself. */
export type MemberState = 'alive' | 'leaving' | 'left';

/** What a member publishes about itself. */
export interface MemberRecord {
  readonly callerAddress: string;
  readonly innerAddress: string;
  readonly domainId: DomainId;
  readonly regionId: RegionId;
  readonly state: MemberState;
  readonly configVersion: ConfigVersion;
}

/** The load of one upstream, reported by the instance that polls it. */
export interface LoadReport {
  readonly upstreamId: UpstreamId;
  /** Time of the poll on this process's monotonic clock. */
  readonly takenAtMs: number;
  readonly running: number;
  readonly queued: number;
  readonly loadedModels: readonly ModelId[];
  readonly leaving: boolean;
  /** Whether cache events of the upstream were missed. */
  readonly cacheEventGap: boolean;
}

/** A request that must not be run until the entry expires. */
export interface QuarantineEntry {
  readonly digest: Digest;
  /** Unix milliseconds. */
  readonly expiresAtMs: number;
  readonly reason: string;
}

/** Capacity, queue waits and price that a domain offers for one model. */
export interface ModelOffer {
  readonly modelId: ModelId;
  readonly freeSlots: number;
  readonly queueWaitMs: number;
  readonly priceMicros: number;
  /** Per rank, the time until all requests that are queued now have started. */
  readonly rankWaits: readonly OfferedWait[];
}

/** The backlog of one rank. */
export interface OfferedWait {
  readonly rankId: RankId;
  readonly backlogMs: number;
}

/** An entry instance as listed in a summary. */
export interface SummaryEntry {
  readonly instanceId: InstanceId;
  readonly callerAddress: string;
  readonly innerAddress: string;
}

/** The key of an item in the `items` map of its origin. */
export function itemKey(kind: ItemKind, key: string): string {
  return `${kind}:${key}`;
}

const STATES: readonly MemberState[] = ['alive', 'leaving', 'left'];

/** The item value of a member record. */
export function encodeMember(record: MemberRecord): JsonValue {
  return [
    record.callerAddress,
    record.innerAddress,
    record.domainId,
    record.regionId,
    STATES.indexOf(record.state),
    record.configVersion,
  ];
}

/** The member record in an item value, if it has the right shape. */
export function decodeMember(value: JsonValue): MemberRecord | undefined {
  if (!Array.isArray(value) || value.length < 6) return undefined;
  const [callerAddress, innerAddress, domainId, regionId, state, version] =
    value as readonly unknown[];
  const decoded = STATES[Number(state)];
  if (decoded === undefined || typeof innerAddress !== 'string') {
    return undefined;
  }
  return {
    callerAddress: String(callerAddress),
    innerAddress,
    domainId: domainId as DomainId,
    regionId: regionId as RegionId,
    state: decoded,
    configVersion: Number(version) as ConfigVersion,
  };
}

const VARINT_BITS = 7;
const VARINT_MORE = 0x80;

/**
 * Counts in the order of the upstream table, as base64 of unsigned varints:
 * about half the bytes of a JSON array of the numbers.
 */
export function encodeCounts(counts: readonly number[]): string {
  const bytes = counts.flatMap(count => {
    const groups: number[] = [];
    let rest = Math.max(0, Math.trunc(count));
    while (rest >= VARINT_MORE) {
      groups.push((rest % VARINT_MORE) | VARINT_MORE);
      rest = Math.floor(rest / VARINT_MORE);
    }
    return [...groups, rest];
  });
  return Buffer.from(bytes).toString('base64');
}

/** Decodes the result of `encodeCounts`. */
export function decodeCounts(text: string): number[] {
  const counts: number[] = [];
  let count = 0;
  let shift = 0;
  Buffer.from(text, 'base64').forEach(byte => {
    count += (byte % VARINT_MORE) * 2 ** shift;
    shift += VARINT_BITS;
    if (byte >= VARINT_MORE) return;
    counts.push(count);
    count = 0;
    shift = 0;
  });
  return counts;
}

/** Resolution of the published time of a load report. */
export const REPORT_TIME_UNIT_MS = 100;

/** The item value of a load report, without its models. */
export function encodeLoad(report: LoadReport): JsonValue {
  return [
    Math.floor(report.takenAtMs / REPORT_TIME_UNIT_MS),
    report.running,
    report.queued,
    (report.leaving ? 1 : 0) + (report.cacheEventGap ? 2 : 0),
  ];
}

/** The load report in an item value; `offsetMs` converts the origin's clock. */
export function decodeLoad(
  upstreamId: UpstreamId,
  value: JsonValue,
  models: JsonValue | undefined,
  offsetMs: number,
): LoadReport | undefined {
  if (!Array.isArray(value) || value.length < 4) return undefined;
  const [takenAt = 0, running = 0, queued = 0, flags = 0] = value.map(Number);
  return {
    upstreamId,
    takenAtMs: takenAt * REPORT_TIME_UNIT_MS + offsetMs,
    running,
    queued,
    loadedModels: Array.isArray(models) ? (models as ModelId[]) : [],
    leaving: (flags & 1) !== 0,
    cacheEventGap: (flags & 2) !== 0,
  };
}

/** The item value of a quarantine entry. */
export function encodeQuarantine(entry: QuarantineEntry): JsonValue {
  return [entry.expiresAtMs, entry.reason];
}

/** The quarantine entry in an item value. */
export function decodeQuarantine(
  digest: string,
  value: JsonValue,
): QuarantineEntry | undefined {
  if (!Array.isArray(value)) return undefined;
  const [expiresAtMs, reason] = value as readonly unknown[];
  if (typeof expiresAtMs !== 'number') return undefined;
  return {digest: digest as Digest, expiresAtMs, reason: String(reason)};
}

/** Longer waits are published as this value. */
const MAX_SUMMARY_WAIT_MS = 3_600_000;

function cappedWaitMs(waitMs: number): number {
  return Math.round(Math.min(MAX_SUMMARY_WAIT_MS, waitMs));
}

/** The part of the offers that rarely changes: models, prices and ranks. */
export function encodeCatalogue(offers: readonly ModelOffer[]): JsonValue {
  return offers.map(offer => [
    offer.modelId,
    Math.round(offer.priceMicros),
    offer.rankWaits.map(each => each.rankId),
  ]);
}

/**
 * The part of the offers that changes often: free slots, queue wait and the
 * backlog of each rank. Models and ranks are in the order of the catalogue.
 */
export function encodeOffers(offers: readonly ModelOffer[]): JsonValue {
  return encodeCounts(
    offers.flatMap(offer => [
      Math.round(offer.freeSlots),
      cappedWaitMs(offer.queueWaitMs),
      ...offer.rankWaits.map(each => cappedWaitMs(each.backlogMs)),
    ]),
  );
}

/** Decodes the offers from the values of the catalogue and summary items. */
export function decodeOffers(
  catalogue: JsonValue | undefined,
  value: JsonValue | undefined,
): ModelOffer[] {
  if (!Array.isArray(catalogue) || typeof value !== 'string') return [];
  const counts = decodeCounts(value);
  const next = (): number => counts.shift() ?? 0;
  return (catalogue as readonly unknown[][]).map(
    ([modelId, priceMicros, rankIds]) => ({
      modelId: modelId as ModelId,
      priceMicros: Number(priceMicros),
      freeSlots: next(),
      queueWaitMs: next(),
      rankWaits: (Array.isArray(rankIds) ? (rankIds as RankId[]) : []).map(
        rankId => ({rankId, backlogMs: next()}),
      ),
    }),
  );
}

/** The item value of a domain's entry instances. */
export function encodeEntries(entries: readonly SummaryEntry[]): JsonValue {
  return entries.map(entry => [
    entry.instanceId,
    entry.callerAddress,
    entry.innerAddress,
  ]);
}

/** The entry instances in an item value. */
export function decodeEntries(value: JsonValue | undefined): SummaryEntry[] {
  if (!Array.isArray(value)) return [];
  return (value as readonly string[][]).map(
    ([instanceId = '', callerAddress = '', innerAddress = '']) => ({
      instanceId: instanceId as InstanceId,
      callerAddress,
      innerAddress,
    }),
  );
}
