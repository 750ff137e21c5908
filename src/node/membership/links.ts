/** State of the links to other domains, derived from the messages received. */
import type {DomainId} from '../types/ids.js';
import {LINK_DOWN_AFTER_MS, LINK_SUSPECT_AFTER_MS} from './constants.js';
import {itemKey, ItemKind} from './items.js';
import type {DomainLink, LinkState} from './membership_view.js';
import type {GossipState} from './state.js';

/** Tracked state of one link. */
export interface LinkRecord {
  /** Local monotonic time of the last message or progress of the domain. */
  readonly lastContactAtMs: number;
  /**
   * Whether the last call failed, including its retry on a fresh connection.
   * This is local to this process: progress of the domain may still arrive
   * through peers.
   */
  readonly callFailed: boolean;
  /**
   * Whether the other domain reports that it receives nothing from this one.
   */
  readonly reportedDown: boolean;
}

export type Links = ReadonlyMap<DomainId, LinkRecord>;

/** The state of one link. */
export function linkStateOf(record: LinkRecord, nowMs: number): LinkState {
  const quietMs = nowMs - record.lastContactAtMs;
  if (quietMs >= LINK_DOWN_AFTER_MS || record.reportedDown) return 'down';
  if (quietMs >= LINK_SUSPECT_AFTER_MS || record.callFailed) return 'suspect';
  return 'up';
}

/**
 * Adds configured domains. A new one counts as contacted now, so that it has
 * the usual time to send its first message.
 */
export function withDomains(
  links: Links,
  domainIds: readonly DomainId[],
  nowMs: number,
): Links {
  const added = domainIds.filter(domainId => !links.has(domainId));
  if (added.length === 0) return links;
  return new Map([
    ...links,
    ...added.map((domainId): [DomainId, LinkRecord] => [
      domainId,
      {lastContactAtMs: nowMs, callFailed: false, reportedDown: false},
    ]),
  ]);
}

/**
 * Records a message from a domain. Only an answer clears `callFailed`: a call
 * from the domain doesn't show that calls to it work, since a link may be cut
 * in one direction only.
 */
export function withContact(
  links: Links,
  domainId: DomainId,
  contactAtMs: number,
  answered: boolean,
): Links {
  const known = links.get(domainId);
  return new Map(links).set(domainId, {
    lastContactAtMs: Math.max(
      contactAtMs,
      known?.lastContactAtMs ?? contactAtMs,
    ),
    callFailed: answered ? false : (known?.callFailed ?? false),
    reportedDown: known?.reportedDown ?? false,
  });
}

/** Records that a call and its retry on a fresh connection both failed. */
export function withCallFailed(links: Links, domainId: DomainId): Links {
  const known = links.get(domainId);
  if (known === undefined || known.callFailed) return links;
  return new Map(links).set(domainId, {...known, callFailed: true});
}

/**
 * Applies the progress of other domains and the links that they report as down.
 */
export function withOriginProgress(
  links: Links,
  state: GossipState,
  ownDomain: DomainId,
): Links {
  return [...state.origins.values()].reduce((known, origin) => {
    const domainId = origin.member?.domainId;
    if (domainId === undefined || domainId === ownDomain) return known;
    const record = known.get(domainId);
    if (record !== undefined && record.lastContactAtMs > origin.progressAtMs) {
      return known;
    }
    const value = origin.items.get(
      itemKey(ItemKind.unreachableDomains, ''),
    )?.value;
    const reportedDown = Array.isArray(value) && value.includes(ownDomain);
    if (
      record?.lastContactAtMs === origin.progressAtMs &&
      record.reportedDown === reportedDown
    ) {
      return known;
    }
    return new Map(known).set(domainId, {
      lastContactAtMs: origin.progressAtMs,
      callFailed: record?.callFailed ?? false,
      reportedDown,
    });
  }, links);
}

/** The links in the form of `MembershipView.links`, sorted by domain. */
export function listLinks(links: Links, nowMs: number): DomainLink[] {
  return [...links]
    .map(([domainId, record]) => ({
      domainId,
      state: linkStateOf(record, nowMs),
      quietMs: nowMs - record.lastContactAtMs,
    }))
    .sort((left, right) => (left.domainId < right.domainId ? -1 : 1));
}
