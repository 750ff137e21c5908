/**
 * Message handler of the membership actor: computes the next state and starts
 * calls.
 */
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import {JOIN_TIMEOUT_MS, URGENT_FANOUT} from './constants.js';
import {
  handleExchange,
  handleExchanged,
  handlePush,
  startExchange,
} from './exchange.js';
import {
  encodeCatalogue,
  encodeMember,
  encodeOffers,
  encodeQuarantine,
  ItemKind,
} from './items.js';
import {withDomains} from './links.js';
import {
  type Message,
  type MessageOf,
  type ResolvedOptions,
  type Send,
} from './messages.js';
import {
  publishNewQuarantine,
  sendQuarantineNotices,
} from './quarantine_notice.js';
import {
  type ActorState,
  advanceRound,
  chooseExchangePeer,
  publishIntervalMs,
  publishLoad,
} from './round.js';
import {type GossipState, ownOrigin, publish} from './state.js';
import {sample} from './summaries.js';
import {
  handleSummary,
  handleSummaryResult,
  reportLinkChanges,
  sendSummaries,
  sendSummary,
} from './summary_exchange.js';
import {membersOf} from './view.js';
import {decodeQuarantineEntry} from './wire.js';

/** Starts exchanges with several random live peers at once. */
function exchangeWithRandomPeers(
  state: ActorState,
  options: ResolvedOptions,
  send: Send,
): Promise<void> {
  const live = membersOf(state.gossip, options.domainId, monotonicNowMs())
    .filter(member => member.instanceId !== options.instanceId)
    .filter(member => member.liveness !== 'dead' && member.state !== 'left');
  const exchanges = sample(live, URGENT_FANOUT, options.random).map(
    member =>
      new Promise<void>(resolve =>
        startExchange(state, member.innerAddress, options, send, {
          done: resolve,
        }),
      ),
  );
  return Promise.all(exchanges).then(() => undefined);
}

function handleRound(
  state: ActorState,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  const nowMs = monotonicNowMs();
  const {domainId, random} = options;
  const peers = options.peers();
  const otherDomains = peers
    .map(peer => peer.domainId)
    .filter(id => id !== domainId);
  const advanced = advanceRound(state, domainId, nowMs, wallNowMs());
  const current = {
    ...advanced,
    links: withDomains(advanced.links, [...new Set(otherDomains)], nowMs),
    joined: advanced.joined || nowMs - advanced.startedAtMs >= JOIN_TIMEOUT_MS,
  };
  const address = chooseExchangePeer(current, domainId, peers, nowMs, random);
  if (address !== undefined) startExchange(current, address, options, send);
  const summarized = sendSummaries(current, peers, options, send);
  return reportLinkChanges(summarized, options);
}

function publishUrgent(
  state: ActorState,
  gossip: GossipState,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  if (gossip === state.gossip) return state;
  const next = {...state, gossip};
  void exchangeWithRandomPeers(next, options, send);
  return next;
}

function publishMember(
  gossip: GossipState,
  change: MessageOf<'member'>['change'],
): GossipState {
  const {member} = ownOrigin(gossip);
  if (member === undefined) return gossip;
  const value = encodeMember({...member, ...change});
  return publish(gossip, ItemKind.member, '', value);
}

function handleLeave(
  state: ActorState,
  {resolve}: MessageOf<'leave'>,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  const gossip = publishMember(state.gossip, {state: 'left'});
  const next = {...state, gossip};
  void exchangeWithRandomPeers(next, options, send).then(resolve);
  return next;
}

function handleQuarantine(
  state: ActorState,
  {entry}: MessageOf<'quarantine'>,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  const {gossip} = state;
  const value = encodeQuarantine(entry);
  const changed = publish(gossip, ItemKind.quarantine, entry.digest, value);
  if (changed !== gossip) sendQuarantineNotices(state, entry, options, send);
  return publishUrgent(state, changed, options, send);
}

function handleQuarantineNotice(
  state: ActorState,
  {request, resolve}: MessageOf<'quarantine_notice'>,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  resolve({});
  const entries = request.q
    .map(decodeQuarantineEntry)
    .filter(entry => entry !== undefined);
  const changed = publishNewQuarantine(state.gossip, entries);
  return publishUrgent(state, changed, options, send);
}

function countFailure(state: ActorState): ActorState {
  const {counters} = state;
  const exchangesFailed = counters.exchangesFailed + 1;
  return {...state, counters: {...counters, exchangesFailed}};
}

function countRetry(state: ActorState): ActorState {
  const {counters} = state;
  const exchangesRetried = counters.exchangesRetried + 1;
  return {...state, counters: {...counters, exchangesRetried}};
}

/** Handles one message and returns the next state. */
export function handleMessage(
  state: ActorState,
  message: Message,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  const {gossip} = state;
  switch (message.kind) {
    case 'round':
      return handleRound(state, options, send);
    case 'exchange':
      return handleExchange(state, message, options);
    case 'push':
      return handlePush(state, message, options);
    case 'exchanged':
      return handleExchanged(state, message, options, send);
    case 'exchange_failed':
      message.done?.();
      return countFailure(state);
    case 'retried':
      return countRetry(state);
    case 'summary':
      return handleSummary(state, message, options);
    case 'summary_result':
      return handleSummaryResult(state, message);
    case 'member': {
      const changed = publishMember(gossip, message.change);
      return publishUrgent(state, changed, options, send);
    }
    case 'in_flight':
      return {...state, inFlight: message.counts};
    case 'load': {
      const members = membersOf(gossip, options.domainId, monotonicNowMs());
      const intervalMs = publishIntervalMs(members.length);
      const next = publishLoad(gossip, message.report, intervalMs);
      return {...state, gossip: next};
    }
    case 'quarantine':
      return handleQuarantine(state, message, options, send);
    case 'quarantine_notice':
      return handleQuarantineNotice(state, message, options, send);
    case 'offers': {
      const catalogue = encodeCatalogue(message.offers);
      const listed = publish(gossip, ItemKind.catalogue, '', catalogue);
      const value = encodeOffers(message.offers);
      return {...state, gossip: publish(listed, ItemKind.summary, '', value)};
    }
    case 'summary_refused':
      sendSummary(state, message.target, 0, options, send);
      return state;
    case 'leave':
      return handleLeave(state, message, options, send);
  }
}
