/** Sends and receives the summaries of domains and tracks the links to them. */
import {monotonicNowMs} from '../clock/clock.js';
import {JOIN_TIMEOUT_MS, SUMMARY_TIMEOUT_MS} from './constants.js';
import type {DomainId} from '../types/ids.js';
import {
  listLinks,
  withCallFailed,
  withOriginProgress,
  withContact,
} from './links.js';
import type {LinkState} from './membership_view.js';
import {merge} from './merge.js';
import {
  callWithRetry,
  type MessageOf,
  type ResolvedOptions,
  type Send,
} from './messages.js';
import {publishNewQuarantine} from './quarantine_notice.js';
import type {ActorState} from './round.js';
import {ownOrigin} from './state.js';
import {
  exportedDelta,
  type PeerAddress,
  publishOwnSummary,
  summaryIntervalMs,
  type SummaryTarget,
  summaryTargets,
  unacknowledgedQuarantine,
  withAcknowledged,
  withConfirmed,
} from './summaries.js';
import {membersOf, summaryBuilders} from './view.js';
import {
  decodeDelta,
  decodeQuarantineEntry,
  encodeDelta,
  encodeQuarantineEntry,
  SUMMARY_METHOD,
  type SummaryAnswer,
} from './wire.js';

/** Sends the own items that changed after `since` to one instance. */
export function sendSummary(
  state: ActorState,
  target: SummaryTarget,
  since: number,
  options: ResolvedOptions,
  send: Send,
): void {
  const {domainId, address} = target;
  const sent = unacknowledgedQuarantine(
    state.gossip,
    state.receipts.get(domainId),
    monotonicNowMs(),
  );
  const {seq} = ownOrigin(state.gossip);
  const params = {
    b: since,
    u: encodeDelta(exportedDelta(state.gossip, since)),
    q: sent.map(encodeQuarantineEntry),
  };
  void callWithRetry<SummaryAnswer>(
    options,
    send,
    address,
    SUMMARY_METHOD,
    params,
    SUMMARY_TIMEOUT_MS,
  ).match(
    ({refused}) =>
      refused === true && since > 0
        ? send({kind: 'summary_refused', target})
        : send({kind: 'summary_result', domainId, succeeded: true, seq, sent}),
    () =>
      send({
        kind: 'summary_result',
        domainId,
        succeeded: false,
        seq: 0,
        sent: [],
      }),
  );
}

/** Sends the summary to the other domains if this instance builds it. */
export function sendSummaries(
  state: ActorState,
  peers: readonly PeerAddress[],
  options: ResolvedOptions,
  send: Send,
): ActorState {
  const nowMs = monotonicNowMs();
  const {domainId, instanceId, random} = options;
  // An instance that has just started has too few members in its view to decide
  // whether it is a builder, and would publish an incomplete list of entries.
  if (nowMs - state.startedAtMs < JOIN_TIMEOUT_MS) return state;
  const intervalMs = summaryIntervalMs(state.links.size + 1);
  if (nowMs - state.lastSummaryAtMs < intervalMs) return state;
  const members = membersOf(state.gossip, domainId, nowMs);
  const builders = summaryBuilders(members);
  const index = builders.findIndex(member => member.instanceId === instanceId);
  if (index < 0) return state;
  const gossip = publishOwnSummary(state.gossip, members, state.links, nowMs);
  const next = {
    ...state,
    gossip,
    lastSummaryAtMs: nowMs,
    summaryTurn: state.summaryTurn + 1,
  };
  const targets = summaryTargets(
    gossip,
    domainId,
    peers,
    {index, count: builders.length},
    state.summaryTurn,
    nowMs,
    random,
  );
  targets.forEach(target => {
    const since = state.propagatedSeqs.get(target.domainId)?.seq ?? 0;
    sendSummary(next, target, since, options, send);
  });
  const summariesSent = state.counters.summariesSent + targets.length;
  return {...next, counters: {...state.counters, summariesSent}};
}

/** Merges a summary from another domain, unless earlier items are missing. */
export function handleSummary(
  state: ActorState,
  {request, resolve}: MessageOf<'summary'>,
  options: ResolvedOptions,
): ActorState {
  const nowMs = monotonicNowMs();
  const delta = decodeDelta(request.u);
  const known = state.gossip.origins.get(delta.memberId);
  if ((known?.seq ?? 0) < request.b) {
    resolve({refused: true});
    return state;
  }
  resolve({});
  const entries = request.q
    .map(decodeQuarantineEntry)
    .filter(entry => entry !== undefined);
  const gossip = publishNewQuarantine(
    merge(state.gossip, [delta], nowMs),
    entries,
  );
  const links = withOriginProgress(state.links, gossip, options.domainId);
  const from = gossip.origins.get(delta.memberId)?.member?.domainId;
  const foreign = from !== undefined && from !== options.domainId;
  return {
    ...state,
    gossip,
    links: foreign ? withContact(links, from, nowMs, false) : links,
  };
}

/** Records the outcome of a summary call to another domain. */
export function handleSummaryResult(
  state: ActorState,
  {domainId, succeeded, seq, sent}: MessageOf<'summary_result'>,
): ActorState {
  const nowMs = monotonicNowMs();
  if (!succeeded) {
    const summariesFailed = state.counters.summariesFailed + 1;
    return {
      ...state,
      links: withCallFailed(state.links, domainId),
      counters: {...state.counters, summariesFailed},
    };
  }
  const receipt = withAcknowledged(state.receipts.get(domainId), sent, nowMs);
  const propagated = withConfirmed(
    state.propagatedSeqs.get(domainId),
    seq,
    nowMs,
  );
  return {
    ...state,
    links: withContact(state.links, domainId, nowMs, true),
    receipts: new Map(state.receipts).set(domainId, receipt),
    propagatedSeqs: new Map(state.propagatedSeqs).set(domainId, propagated),
  };
}

/** Logs each link state change and calls `onLinkChange`. */
export function reportLinkChanges(
  state: ActorState,
  options: ResolvedOptions,
): ActorState {
  const links = listLinks(state.links, state.lastRoundAtMs);
  const changed = links.filter(
    link => (state.reportedLinks.get(link.domainId) ?? 'up') !== link.state,
  );
  if (changed.length === 0) return state;
  changed.forEach(link => {
    const previous = state.reportedLinks.get(link.domainId) ?? 'up';
    options.logger.info({...link, previous}, 'link state changed');
    options.onLinkChange(link, previous);
  });
  const reportedLinks = new Map(
    links.map((link): [DomainId, LinkState] => [link.domainId, link.state]),
  );
  return {...state, reportedLinks};
}
