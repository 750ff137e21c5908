/**
 * The periodic work of one round of the membership, and the rate limits of
 * publications.
 */
import type {DomainId, UpstreamId} from '../types/ids.js';
import {
  GOSSIP_INTERVAL_MS,
  GOSSIP_INTERVAL_PER_MEMBER_MS,
  LOAD_REPORT_EXPIRY_MS,
  PUBLISH_INTERVAL_MS,
  PUBLISH_INTERVAL_PER_MEMBER_MS,
  REPAIR_EVERY_ROUNDS,
  SUSPECT_EVERY_ROUNDS,
} from './constants.js';
import {removableOrigins, newestOrigins} from './failure_detection.js';
import {
  encodeCounts,
  encodeLoad,
  encodeQuarantine,
  itemKey,
  ItemKind,
  type LoadReport,
  type QuarantineEntry,
  REPORT_TIME_UNIT_MS,
} from './items.js';
import type {LinkState, Member, MembershipCounters} from './membership_view.js';
import type {Links} from './links.js';
import {
  recordHeartbeat,
  expireQuarantine,
  removeOrigins,
  shiftProgressTimes,
  type GossipState,
  ownOrigin,
  publish,
} from './state.js';
import type {
  PropagatedSeq,
  PeerAddress,
  QuarantineReceipt,
} from './summaries.js';
import {isLive, membersOf} from './view.js';

/** The complete state of the membership actor. */
export interface ActorState {
  readonly gossip: GossipState;
  readonly links: Links;
  /** The link states at the last report of changes. */
  readonly reportedLinks: ReadonlyMap<DomainId, LinkState>;
  readonly joined: boolean;
  readonly startedAtMs: number;
  readonly lastRoundAtMs: number;
  /** Time until the next round. */
  readonly intervalMs: number;
  readonly lastSummaryAtMs: number;
  /** Number of turns in which this instance has sent summaries. */
  readonly summaryTurn: number;
  readonly lastInFlightAtMs: number;
  /**
   * The current in-flight counts of this process, published at a limited rate.
   */
  readonly inFlight: ReadonlyMap<UpstreamId, number>;
  /** The own items that each other domain has received. */
  readonly propagatedSeqs: ReadonlyMap<DomainId, PropagatedSeq>;
  readonly receipts: ReadonlyMap<DomainId, QuarantineReceipt>;
  readonly counters: MembershipCounters;
}

/**
 * A pause of this many intervals between rounds means that the process was
 * frozen.
 */
const FROZEN_ROUNDS = 3;
/** Tolerance for reports that arrive slightly early because of timer jitter. */
const PUBLISH_SLACK_MS = 250;

/** The time between two rounds. */
export function gossipIntervalMs(members: number): number {
  return Math.max(GOSSIP_INTERVAL_MS, members * GOSSIP_INTERVAL_PER_MEMBER_MS);
}

/**
 * Shifts the progress times if this process was frozen since the last round.
 */
function shiftProgressAfterFreeze(
  state: ActorState,
  nowMs: number,
): GossipState {
  const pauseMs = nowMs - state.lastRoundAtMs;
  const {intervalMs} = state;
  if (pauseMs < FROZEN_ROUNDS * intervalMs) return state.gossip;
  return shiftProgressTimes(state.gossip, pauseMs - intervalMs);
}

/** The time between two publications of the counts or of one report. */
export function publishIntervalMs(members: number): number {
  return Math.max(
    PUBLISH_INTERVAL_MS,
    members * PUBLISH_INTERVAL_PER_MEMBER_MS,
  );
}

/**
 * Publishes a load report unless the last one of the upstream is too recent.
 * Changes of its flags or models are published immediately.
 */
export function publishLoad(
  gossip: GossipState,
  report: LoadReport,
  intervalMs: number,
): GossipState {
  const {upstreamId} = report;
  const last = ownOrigin(gossip).items.get(
    itemKey(ItemKind.load, upstreamId),
  )?.value;
  const value = encodeLoad(report);
  const withModels = publish(
    gossip,
    ItemKind.models,
    upstreamId,
    report.loadedModels,
  );
  const tooRecent =
    Array.isArray(last) &&
    report.takenAtMs - Number(last[0]) * REPORT_TIME_UNIT_MS <
      intervalMs - PUBLISH_SLACK_MS &&
    last[3] === (value as readonly unknown[])[3];
  if (tooRecent && withModels === gossip) return gossip;
  return publish(withModels, ItemKind.load, upstreamId, value);
}

/**
 * Publishes the in-flight counts. Upstreams are only ever appended to the
 * table, so that the positions of the counts stay valid.
 */
export function publishCounts(
  gossip: GossipState,
  inFlight: ReadonlyMap<UpstreamId, number>,
): GossipState {
  const known = ownOrigin(gossip).items.get(
    itemKey(ItemKind.upstreamTable, ''),
  )?.value;
  const table = Array.isArray(known) ? (known as UpstreamId[]) : [];
  const added = [...inFlight.keys()].filter(id => !table.includes(id));
  const full = [...table, ...added];
  const counts = encodeCounts(full.map(id => inFlight.get(id) ?? 0));
  const withTable =
    added.length === 0
      ? gossip
      : publish(gossip, ItemKind.upstreamTable, '', full);
  return publish(withTable, ItemKind.inFlight, '', counts);
}

/** Withdraws own load reports that were not renewed. */
function withdrawExpiredReports(
  gossip: GossipState,
  nowMs: number,
): GossipState {
  return [...ownOrigin(gossip).items.values()]
    .filter(
      item =>
        item.kind === ItemKind.load &&
        Array.isArray(item.value) &&
        nowMs - Number(item.value[0]) * REPORT_TIME_UNIT_MS >=
          LOAD_REPORT_EXPIRY_MS,
    )
    .reduce(
      (next, {key}) =>
        publish(
          publish(next, ItemKind.load, key, null),
          ItemKind.models,
          key,
          null,
        ),
      gossip,
    );
}

/**
 * Republishes quarantine entries that no origin publishes any more, so that
 * instances that join later receive them. Only the live instance with the
 * lowest id does this for the domain.
 */
function republishQuarantine(
  gossip: GossipState,
  members: readonly Member[],
): GossipState {
  if (members.find(isLive)?.memberId !== gossip.self) return gossip;
  const isPublished = (entry: QuarantineEntry): boolean =>
    [...newestOrigins(gossip).values()].some(origin =>
      origin.items.has(itemKey(ItemKind.quarantine, entry.digest)),
    );
  return [...gossip.quarantine.values()]
    .filter(entry => !isPublished(entry))
    .reduce(
      (next, entry) =>
        publish(
          next,
          ItemKind.quarantine,
          entry.digest,
          encodeQuarantine(entry),
        ),
      gossip,
    );
}

/** Does the periodic work of one round, before any message is sent. */
export function advanceRound(
  state: ActorState,
  domainId: DomainId,
  nowMs: number,
  wallMs: number,
): ActorState {
  const alive = recordHeartbeat(shiftProgressAfterFreeze(state, nowMs), nowMs);
  const pruned = expireQuarantine(
    removeOrigins(alive, removableOrigins(alive, domainId, nowMs), nowMs),
    wallMs,
  );
  const members = membersOf(pruned, domainId, nowMs);
  const republished = republishQuarantine(pruned, members);
  const current = withdrawExpiredReports(republished, nowMs);
  const countsDue =
    nowMs - state.lastInFlightAtMs >= publishIntervalMs(members.length);
  return {
    ...state,
    gossip: countsDue ? publishCounts(current, state.inFlight) : current,
    lastInFlightAtMs: countsDue ? nowMs : state.lastInFlightAtMs,
    lastRoundAtMs: nowMs,
    intervalMs: gossipIntervalMs(members.length),
    counters: {...state.counters, rounds: state.counters.rounds + 1},
  };
}

/**
 * The address for the next exchange, normally that of a random live peer. Every
 * second round contacts a suspect if there is one, so that it is tried on a
 * fresh connection before it counts as dead. Every `REPAIR_EVERY_ROUNDS`
 * rounds, and while no peer is reachable, a configured instance is contacted
 * that is not known to be live, which heals a partition inside the domain.
 */
export function chooseExchangePeer(
  state: ActorState,
  domainId: DomainId,
  peers: readonly PeerAddress[],
  nowMs: number,
  random: () => number,
): string | undefined {
  const self = ownOrigin(state.gossip).instanceId;
  const known = membersOf(state.gossip, domainId, nowMs).filter(
    member => member.instanceId !== self,
  );
  const reachable = known.filter(
    member => member.liveness !== 'dead' && member.state !== 'left',
  );
  const reachableIds = new Set(reachable.map(member => member.instanceId));
  const others = peers.filter(
    peer =>
      peer.domainId === domainId &&
      peer.instanceId !== self &&
      !reachableIds.has(peer.instanceId),
  );
  const repair = state.counters.rounds % REPAIR_EVERY_ROUNDS === 0;
  const suspects = reachable.filter(member => member.liveness === 'suspect');
  const askSuspect = state.counters.rounds % SUSPECT_EVERY_ROUNDS === 1;
  const usual = askSuspect && suspects.length > 0 ? suspects : reachable;
  const pool =
    others.length > 0 && (repair || reachable.length === 0) ? others : usual;
  return pool[Math.floor(random() * pool.length)]?.innerAddress;
}
