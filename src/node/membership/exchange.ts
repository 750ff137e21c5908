/** Push-pull exchanges between two instances of a domain. */
import {monotonicNowMs} from '../clock/clock.js';
import {EXCHANGE_TIMEOUT_MS, LARGE_DOMAIN_ORIGINS} from './constants.js';
import {
  type Delta,
  deltasBeyond,
  deltasWanted,
  digestOf,
  wantedOrigins,
} from './digest.js';
import {ItemKind} from './items.js';
import {withOriginProgress} from './links.js';
import {isSuperseded, merge, observeDigest} from './merge.js';
import {
  callWithRetry,
  type MessageOf,
  type ResolvedOptions,
  type Send,
} from './messages.js';
import type {ActorState} from './round.js';
import type {GossipState} from './state.js';
import {
  decodeDelta,
  decodeLongDigest,
  decodeSeqs,
  decodeWants,
  encodeDelta,
  encodeSeqs,
  encodeWants,
  EXCHANGE_METHOD,
  type ExchangeAnswer,
  OriginNames,
  packDeltas,
  type PackedDeltas,
  PUSH_METHOD,
  unpackDeltas,
  type WireDelta,
  type WireExchange,
  type WirePush,
} from './wire.js';

/**
 * Starts a push-pull exchange. Its outcome is sent to the actor as a message.
 * The digest is sent in its short form, or in its long form after the peer
 * answered that its set of origins differs.
 */
export function startExchange(
  state: ActorState,
  address: string,
  options: ResolvedOptions,
  send: Send,
  more: {readonly longDigest?: boolean; readonly done?: () => void} = {},
): void {
  const asked = digestOf(state.gossip);
  const names = more.longDigest === true ? undefined : new OriginNames(asked);
  const params: WireExchange =
    names === undefined
      ? {n: [...asked]}
      : {h: names.hash, s: encodeSeqs(asked, names)};
  const {done} = more;
  void callWithRetry<ExchangeAnswer>(
    options,
    send,
    address,
    EXCHANGE_METHOD,
    params,
    EXCHANGE_TIMEOUT_MS,
  ).match(
    answer => send({kind: 'exchanged', address, answer, asked, names, done}),
    () => send({kind: 'exchange_failed', done}),
  );
}

function withGossipState(
  state: ActorState,
  gossip: GossipState,
  options: ResolvedOptions,
): ActorState {
  if (gossip === state.gossip) return state;
  const links = withOriginProgress(state.links, gossip, options.domainId);
  return {...state, gossip, links};
}

/**
 * Answers an exchange with the deltas that the caller lacks and a request for
 * those missing here.
 */
export function handleExchange(
  state: ActorState,
  {request, resolve}: MessageOf<'exchange'>,
  options: ResolvedOptions,
): ActorState {
  const {gossip} = state;
  const from = gossip.self;
  const own = digestOf(gossip);
  const nowMs = monotonicNowMs();
  if ('n' in request) {
    const theirs = decodeLongDigest(request.n);
    const u = deltasBeyond(gossip, theirs, nowMs).map(encodeDelta);
    resolve({from, u, w: [...wantedOrigins(gossip, theirs)]});
    return state;
  }
  const names = new OriginNames(own);
  if (names.hash !== request.h) {
    resolve({from});
    return state;
  }
  const theirs = decodeSeqs(request.s, own, names);
  const deltas = deltasBeyond(gossip, theirs, nowMs);
  const w = encodeWants(wantedOrigins(gossip, theirs), theirs, names);
  resolve({from, ...packDeltas(deltas, names), w});
  return withGossipState(state, observeDigest(gossip, theirs, nowMs), options);
}

const FREQUENT_KINDS: readonly ItemKind[] = [
  ItemKind.load,
  ItemKind.inFlight,
  ItemKind.summary,
];

/**
 * Whether to push the deltas that the peer requested. In a large domain load,
 * counts and offers are pushed only half of the time, since the peer also pulls
 * them in its own exchanges and sees heartbeats in digests. All other items are
 * always pushed.
 */
function shouldPush(
  gossip: GossipState,
  deltas: readonly Delta[],
  random: () => number,
): boolean {
  if (deltas.length === 0) return false;
  if (gossip.origins.size < LARGE_DOMAIN_ORIGINS || random() < 0.5) return true;
  return deltas.some(delta =>
    delta.items.some(item => !FREQUENT_KINDS.includes(item.kind)),
  );
}

/** The push with the deltas that the peer requested, if one is needed. */
function pushParams(
  gossip: GossipState,
  {answer, asked, names}: MessageOf<'exchanged'>,
  random: () => number,
): WirePush | undefined {
  if (!('u' in answer)) return undefined;
  const nowMs = monotonicNowMs();
  const to = answer.from;
  if (!('s' in answer)) {
    const deltas = deltasWanted(gossip, decodeLongDigest(answer.w), nowMs);
    return deltas.length === 0 ? undefined : {to, u: deltas.map(encodeDelta)};
  }
  if (names === undefined) return undefined;
  const wants = decodeWants(answer.w, asked, names);
  const deltas = deltasWanted(gossip, wants, nowMs);
  if (!shouldPush(gossip, deltas, random)) return undefined;
  return {to, h: names.hash, ...packDeltas(deltas, names)};
}

/** Pushes the deltas that the peer requested. */
function startPush(
  gossip: GossipState,
  message: MessageOf<'exchanged'>,
  options: ResolvedOptions,
  send: Send,
): void {
  const {address, done} = message;
  const params = pushParams(gossip, message, options.random);
  if (params === undefined) {
    done?.();
    return;
  }
  void options.rpcClient
    .call(address, PUSH_METHOD, params, EXCHANGE_TIMEOUT_MS)
    .match(
      () => done?.(),
      () => send({kind: 'exchange_failed', done}),
    );
}

function deltasOf(
  gossip: GossipState,
  message: PackedDeltas | {readonly u: WireDelta[]},
  names: OriginNames | undefined,
): Delta[] {
  if (!('s' in message)) return message.u.map(decodeDelta);
  if (names === undefined) return [];
  return unpackDeltas(message, digestOf(gossip), names);
}

/** Merges the answer to an exchange and pushes what the peer requested. */
export function handleExchanged(
  state: ActorState,
  message: MessageOf<'exchanged'>,
  options: ResolvedOptions,
  send: Send,
): ActorState {
  const {address, answer, names, done} = message;
  if (!('u' in answer)) {
    startExchange(state, address, options, send, {longDigest: true, done});
    return state;
  }
  const wasSuperseded = isSuperseded(state.gossip);
  const deltas = deltasOf(state.gossip, answer, names);
  const gossip = merge(state.gossip, deltas, monotonicNowMs());
  if (!wasSuperseded && isSuperseded(gossip)) {
    options.logger.error(
      'a peer reported a newer incarnation of this instance',
    );
    options.onSuperseded();
  }
  startPush(gossip, message, options, send);
  return {...withGossipState(state, gossip, options), joined: true};
}

/**
 * Merges the deltas that this process requested in its answer to an exchange.
 */
export function handlePush(
  state: ActorState,
  {request, resolve}: MessageOf<'push'>,
  options: ResolvedOptions,
): ActorState {
  resolve({});
  // The deltas were computed for another incarnation of this process, which had
  // more items. Merging them would leave gaps.
  if (request.to !== state.gossip.self) return state;
  const names = new OriginNames(digestOf(state.gossip));
  if ('h' in request && request.h !== names.hash) return state;
  const deltas = deltasOf(state.gossip, request, names);
  const gossip = merge(state.gossip, deltas, monotonicNowMs());
  return withGossipState(state, gossip, options);
}
