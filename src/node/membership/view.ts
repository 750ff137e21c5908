/** The queries of the membership, computed from the current gossip state. */
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import type {
  ConfigVersion,
  DomainId,
  InstanceId,
  MemberId,
  UpstreamId,
} from '../types/ids.js';
import {
  LINK_DOWN_AFTER_MS,
  LOAD_REPORT_EXPIRY_MS,
  SUMMARY_BUILDERS,
} from './constants.js';
import {livenessOf, newestOrigins} from './failure_detection.js';
import {
  decodeCounts,
  decodeEntries,
  decodeLoad,
  decodeOffers,
  type Item,
  itemKey,
  ItemKind,
  type QuarantineEntry,
} from './items.js';
import {
  type DomainLink,
  type DomainSummary,
  type Member,
  type MembershipCounters,
  MembershipView,
  type SharedLoadReport,
} from './membership_view.js';
import {assignedUpstreams} from './polling.js';
import type {GossipState, Origin} from './state.js';

/** Members of the domain in their newest incarnation, sorted by id. */
export function membersOf(
  state: GossipState,
  domainId: DomainId,
  nowMs: number,
): Member[] {
  return [...newestOrigins(state).values()]
    .flatMap(origin => {
      if (origin.member?.domainId !== domainId) return [];
      return [
        {
          ...origin.member,
          memberId: origin.memberId,
          instanceId: origin.instanceId,
          incarnation: origin.incarnation,
          liveness: livenessOf(state, origin, nowMs),
          quietMs:
            origin.memberId === state.self ? 0 : nowMs - origin.progressAtMs,
        },
      ];
    })
    .sort((left, right) => (left.instanceId < right.instanceId ? -1 : 1));
}

/** Whether a member accepts work. */
export function isLive(member: Member): boolean {
  return member.liveness !== 'dead' && member.state === 'alive';
}

/** The instances that build the summary of their domain. */
export function summaryBuilders(members: readonly Member[]): Member[] {
  return members.filter(isLive).slice(0, SUMMARY_BUILDERS);
}

function reportsOf(origin: Origin): SharedLoadReport[] {
  return [...origin.items.values()]
    .filter(item => item.kind === ItemKind.load)
    .map(item =>
      decodeLoad(
        item.key as UpstreamId,
        item.value,
        origin.items.get(itemKey(ItemKind.models, item.key))?.value,
        origin.clockOffsetMs ?? 0,
      ),
    )
    .filter(report => report !== undefined)
    .map(report => ({...report, reportedBy: origin.instanceId}));
}

/** The newest unexpired report of each upstream. */
export function loadReportsOf(
  state: GossipState,
  nowMs: number,
): Map<UpstreamId, SharedLoadReport> {
  const newest = new Map<UpstreamId, SharedLoadReport>();
  [...state.origins.values()]
    .flatMap(origin => reportsOf(origin))
    .filter(report => nowMs - report.takenAtMs < LOAD_REPORT_EXPIRY_MS)
    .forEach(report => {
      const known = newest.get(report.upstreamId);
      if (known === undefined || known.takenAtMs < report.takenAtMs) {
        newest.set(report.upstreamId, report);
      }
    });
  return newest;
}

/** The summed in-flight counts of these origins. */
export function sumInFlight(
  origins: readonly Origin[],
): Map<UpstreamId, number> {
  const sums = new Map<UpstreamId, number>();
  origins.forEach(origin => {
    const value = (kind: ItemKind): Item['value'] | undefined =>
      origin.items.get(itemKey(kind, ''))?.value;
    const table = value(ItemKind.upstreamTable);
    const counts = value(ItemKind.inFlight);
    if (!Array.isArray(table) || typeof counts !== 'string') return;
    decodeCounts(counts).forEach((count, index) => {
      const upstreamId = table[index] as UpstreamId | undefined;
      if (upstreamId === undefined || count === 0) return;
      sums.set(upstreamId, (sums.get(upstreamId) ?? 0) + count);
    });
  });
  return sums;
}

/** The last summary of each other domain. */
export function summariesOf(
  state: GossipState,
  ownDomain: DomainId,
  nowMs: number,
): DomainSummary[] {
  const newest = new Map<DomainId, Origin>();
  state.origins.forEach(origin => {
    const domainId = origin.member?.domainId;
    if (domainId === undefined || domainId === ownDomain) return;
    if (!origin.items.has(itemKey(ItemKind.entries, ''))) return;
    const known = newest.get(domainId);
    if (known === undefined || known.progressAtMs < origin.progressAtMs) {
      newest.set(domainId, origin);
    }
  });
  return [...newest].map(([domainId, origin]) => {
    const ageMs = nowMs - origin.progressAtMs;
    return {
      domainId,
      offers: decodeOffers(
        origin.items.get(itemKey(ItemKind.catalogue, ''))?.value,
        origin.items.get(itemKey(ItemKind.summary, ''))?.value,
      ),
      entries: decodeEntries(
        origin.items.get(itemKey(ItemKind.entries, ''))?.value,
      ),
      configVersion: origin.member?.configVersion ?? (0 as ConfigVersion),
      ageMs,
      stale: ageMs >= LINK_DOWN_AFTER_MS,
    };
  });
}

/** The parts of the actor's current state that the view reads. */
export interface ViewSource {
  readonly gossip: GossipState;
  readonly domainId: DomainId;
  readonly joined: boolean;
  readonly links: (nowMs: number) => readonly DomainLink[];
  readonly counters: MembershipCounters;
}

/** The view of a running membership. */
export class GossipView extends MembershipView {
  constructor(private readonly source: () => ViewSource) {
    super();
  }

  self(): MemberId {
    return this.source().gossip.self;
  }

  joined(): boolean {
    return this.source().joined;
  }

  members(): readonly Member[] {
    const {gossip, domainId} = this.source();
    return membersOf(gossip, domainId, monotonicNowMs());
  }

  liveMembers(): readonly Member[] {
    return this.members().filter(isLive);
  }

  loadReports(): ReadonlyMap<UpstreamId, SharedLoadReport> {
    return loadReportsOf(this.source().gossip, monotonicNowMs());
  }

  inFlightOfOthers(): ReadonlyMap<UpstreamId, number> {
    const {gossip} = this.source();
    const nowMs = monotonicNowMs();
    return sumInFlight(
      [...newestOrigins(gossip).values()].filter(
        origin =>
          origin.memberId !== gossip.self &&
          origin.member?.state !== 'left' &&
          livenessOf(gossip, origin, nowMs) !== 'dead',
      ),
    );
  }

  quarantine(): ReadonlyMap<string, QuarantineEntry> {
    const wallMs = wallNowMs();
    return new Map(
      [...this.source().gossip.quarantine].filter(
        ([, entry]) => entry.expiresAtMs > wallMs,
      ),
    );
  }

  domainSummaries(): readonly DomainSummary[] {
    const {gossip, domainId} = this.source();
    return summariesOf(gossip, domainId, monotonicNowMs());
  }

  links(): readonly DomainLink[] {
    return this.source().links(monotonicNowMs());
  }

  polledUpstreams(upstreamIds: readonly UpstreamId[]): UpstreamId[] {
    const live = this.liveMembers().map(member => member.instanceId);
    return assignedUpstreams(upstreamIds, live, this.ownInstance());
  }

  buildsSummary(): boolean {
    const own = this.ownInstance();
    return summaryBuilders(this.members()).some(
      member => member.instanceId === own,
    );
  }

  newestConfigVersion(): ConfigVersion {
    return Math.max(
      0,
      ...[...this.source().gossip.origins.values()].map(
        origin => origin.member?.configVersion ?? 0,
      ),
    ) as ConfigVersion;
  }

  counters(): MembershipCounters {
    return this.source().counters;
  }

  private ownInstance(): InstanceId {
    const self = this.self();
    return self.slice(0, self.lastIndexOf('#')) as InstanceId;
  }
}
