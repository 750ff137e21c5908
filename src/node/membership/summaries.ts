/** Summaries of a domain: contents, targets and acknowledgements. */
import type {DomainId, InstanceId} from '../types/ids.js';
import {
  LINK_DOWN_AFTER_MS,
  QUARANTINE_RESEND_MS,
  SUMMARY_INTERVAL_MS,
  SUMMARY_INTERVAL_PER_DOMAIN_MS,
  SUMMARY_PROPAGATION_MS,
} from './constants.js';
import type {Delta} from './digest.js';
import {
  encodeEntries,
  isForOtherDomains,
  ItemKind,
  type QuarantineEntry,
  type SummaryEntry,
} from './items.js';
import {type Links, linkStateOf} from './links.js';
import type {Member} from './membership_view.js';
import {type GossipState, ownOrigin, publish} from './state.js';
import {isLive, summariesOf} from './view.js';

/** An instance that the configuration names. */
export interface PeerAddress {
  readonly instanceId: InstanceId;
  readonly domainId: DomainId;
  readonly innerAddress: string;
}

/** Publishes the entries and the unreachable domains of the own summary. */
export function publishOwnSummary(
  state: GossipState,
  members: readonly Member[],
  links: Links,
  nowMs: number,
): GossipState {
  const entries: SummaryEntry[] = members.filter(isLive).map(member => ({
    instanceId: member.instanceId,
    callerAddress: member.callerAddress,
    innerAddress: member.innerAddress,
  }));
  const unreachable = [...links]
    .filter(([, link]) => nowMs - link.lastContactAtMs >= LINK_DOWN_AFTER_MS)
    .map(([domainId]) => domainId)
    .sort();
  return publish(
    publish(state, ItemKind.entries, '', encodeEntries(entries)),
    ItemKind.unreachableDomains,
    '',
    unreachable,
  );
}

/** The own items for other domains that changed after `since`. */
export function exportedDelta(state: GossipState, since: number): Delta {
  const own = ownOrigin(state);
  return {
    memberId: own.memberId,
    seq: own.seq,
    quietMs: 0,
    items: [...own.items.values()].filter(
      item =>
        item.seq > since &&
        (item.kind === ItemKind.member || isForOtherDomains(item.kind)),
    ),
  };
}

/** Picks `count` distinct random elements. */
export function sample<T>(
  from: readonly T[],
  count: number,
  random: () => number,
): T[] {
  const rest = [...from];
  return Array.from({length: Math.min(count, rest.length)}, () => {
    const index = Math.floor(random() * rest.length);
    return rest.splice(index, 1)[0] as T;
  });
}

/** The time between two summaries to each other domain. */
export function summaryIntervalMs(domains: number): number {
  return Math.max(
    SUMMARY_INTERVAL_MS,
    domains * SUMMARY_INTERVAL_PER_DOMAIN_MS,
  );
}

/** The instance to which a summary is sent. */
export interface SummaryTarget {
  readonly domainId: DomainId;
  readonly address: string;
}

/**
 * The instances of each other domain: those of its summary, or the configured
 * ones while it has none that is current.
 */
export function instancesByDomain(
  state: GossipState,
  ownDomain: DomainId,
  peers: readonly PeerAddress[],
  nowMs: number,
): ReadonlyMap<DomainId, readonly Pick<SummaryEntry, 'innerAddress'>[]> {
  const summaries = new Map(
    summariesOf(state, ownDomain, nowMs).map(summary => [
      summary.domainId,
      summary,
    ]),
  );
  const domainIds = new Set([
    ...summaries.keys(),
    ...peers.map(peer => peer.domainId),
  ]);
  domainIds.delete(ownDomain);
  return new Map(
    [...domainIds].map(domainId => {
      const summary = summaries.get(domainId);
      const isCurrent =
        summary !== undefined && !summary.stale && summary.entries.length > 0;
      const configured = peers.filter(peer => peer.domainId === domainId);
      return [domainId, isCurrent ? summary.entries : configured];
    }),
  );
}

/**
 * The targets of this builder in one turn: one instance of each domain that is
 * assigned to it. The builders alternate per domain, so each domain receives
 * one summary per turn and, over time, summaries of both builders.
 */
export function summaryTargets(
  state: GossipState,
  ownDomain: DomainId,
  peers: readonly PeerAddress[],
  builder: {readonly index: number; readonly count: number},
  turn: number,
  nowMs: number,
  random: () => number,
): SummaryTarget[] {
  return [...instancesByDomain(state, ownDomain, peers, nowMs)]
    .sort(([left], [right]) => (left < right ? -1 : 1))
    .filter((_, index) => (index + turn) % builder.count === builder.index)
    .flatMap(([domainId, instances]) =>
      sample(instances, 1, random).map(({innerAddress}) => ({
        domainId,
        address: innerAddress,
      })),
    );
}

/**
 * The own sequence number up to which all instances of a domain have the own
 * items: the one that an instance confirmed at least `SUMMARY_PROPAGATION_MS`
 * ago.
 */
export interface PropagatedSeq {
  readonly seq: number;
  readonly confirmedSeq: number;
  readonly confirmedAtMs: number;
}

/** Records that an instance of a domain has the own items up to `seq`. */
export function withConfirmed(
  current: PropagatedSeq | undefined,
  seq: number,
  nowMs: number,
): PropagatedSeq {
  if (current === undefined) {
    return {seq: 0, confirmedSeq: seq, confirmedAtMs: nowMs};
  }
  if (nowMs - current.confirmedAtMs < SUMMARY_PROPAGATION_MS) return current;
  return {seq: current.confirmedSeq, confirmedSeq: seq, confirmedAtMs: nowMs};
}

/** The quarantine entries that a domain has acknowledged since `sinceMs`. */
export interface QuarantineReceipt {
  readonly sinceMs: number;
  readonly expiryByDigest: ReadonlyMap<string, number>;
}

/** Entries that a domain has not acknowledged in the current resend period. */
export function unacknowledgedQuarantine(
  state: GossipState,
  receipt: QuarantineReceipt | undefined,
  nowMs: number,
): QuarantineEntry[] {
  const all = [...state.quarantine.values()];
  if (receipt === undefined || nowMs - receipt.sinceMs > QUARANTINE_RESEND_MS) {
    return all;
  }
  return all.filter(
    entry => receipt.expiryByDigest.get(entry.digest) !== entry.expiresAtMs,
  );
}

/** Adds acknowledged entries to a receipt. */
export function withAcknowledged(
  receipt: QuarantineReceipt | undefined,
  entries: readonly QuarantineEntry[],
  nowMs: number,
): QuarantineReceipt {
  const current =
    receipt === undefined || nowMs - receipt.sinceMs > QUARANTINE_RESEND_MS
      ? {sinceMs: nowMs, expiryByDigest: new Map<string, number>()}
      : receipt;
  return {
    ...current,
    expiryByDigest: new Map([
      ...current.expiryByDigest,
      ...entries.map((entry): [string, number] => [
        entry.digest,
        entry.expiresAtMs,
      ]),
    ]),
  };
}

/** Whether a link is usable for sending work. */
export function isReachable(
  links: Links,
  domainId: DomainId,
  nowMs: number,
): boolean {
  const link = links.get(domainId);
  return link !== undefined && linkStateOf(link, nowMs) !== 'down';
}
