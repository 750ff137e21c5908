/**
 * The membership of one process: gossip inside its failure domain, failure
 * detection, and summaries between domains. An actor owns the state. The view
 * answers queries from the current state; the functions in `commands.ts` send
 * messages that change it.
 */
import {dispatch, spawn, start, stop as stopActor} from 'nact';
import {type Logger, pino} from 'pino';
import {monotonicNowMs, wallNowMs} from '../clock/clock.js';
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import {
  asNumber,
  type ConfigVersion,
  type DomainId,
  type InstanceId,
  type RegionId,
} from '../types/ids.js';
import {EXCHANGE_TIMEOUT_MS, GOSSIP_INTERVAL_MS} from './constants.js';
import {encodeMember, ItemKind, type MemberRecord} from './items.js';
import {listLinks, withDomains} from './links.js';
import type {DomainLink, LinkState, MembershipView} from './membership_view.js';
import {handleMessage} from './actor.js';
import type {Message, ResolvedOptions, Send} from './messages.js';
import type {ActorState} from './round.js';
import {createGossipState, publish, toMemberId} from './state.js';
import type {PeerAddress} from './summaries.js';
import {GossipView} from './view.js';
import {
  EXCHANGE_METHOD,
  exchangeSchema,
  PUSH_METHOD,
  pushSchema,
  QUARANTINE_METHOD,
  quarantineNoticeSchema,
  SUMMARY_METHOD,
  summarySchema,
} from './wire.js';

/** Identity, dependencies and callbacks of a membership. */
export interface MembershipOptions {
  readonly instanceId: InstanceId;
  readonly domainId: DomainId;
  readonly regionId: RegionId;
  readonly callerAddress: string;
  readonly innerAddress: string;
  readonly rpcClient: RpcClient;
  readonly rpcRouter: RpcRouter;
  /** Configured instances of all domains; read again in each round. */
  readonly peers: () => readonly PeerAddress[];
  /**
   * Must increase with each start of the instance.
   * @default Unix milliseconds at the start
   */
  readonly incarnation?: number;
  /** @default 0 */
  readonly configVersion?: ConfigVersion;
  /** Source of random numbers in [0, 1). @default Math.random */
  readonly random?: () => number;
  /** @default a logger without output */
  readonly logger?: Logger;
  /** Called when the link to another domain changes its state. */
  readonly onLinkChange?: (link: DomainLink, previous: LinkState) => void;
  /**
   * Called when a peer reports a newer incarnation of this instance. Peers
   * ignore this process from then on, so it should stop.
   */
  readonly onSuperseded?: () => void;
}

/** A running membership. Commands are in `commands.ts`. */
export interface Membership {
  readonly view: MembershipView;
  /** Sends a message to the actor that owns the state; used by commands. */
  readonly send: Send;
  /** Resolves when a peer has answered or `JOIN_TIMEOUT_MS` has passed. */
  readonly ready: Promise<void>;
  /** Publishes the state `left` to peers, then stops timers and the actor. */
  stop(): Promise<void>;
}

function resolveOptions(options: MembershipOptions): ResolvedOptions {
  return {
    ...options,
    incarnation: options.incarnation ?? wallNowMs(),
    configVersion: options.configVersion ?? asNumber<ConfigVersion>(0),
    random: options.random ?? Math.random,
    logger: options.logger ?? pino({level: 'silent'}),
    onLinkChange: options.onLinkChange ?? (() => undefined),
    onSuperseded: options.onSuperseded ?? (() => undefined),
  };
}

function initialState(options: ResolvedOptions): ActorState {
  const nowMs = monotonicNowMs();
  const record: MemberRecord = {
    callerAddress: options.callerAddress,
    innerAddress: options.innerAddress,
    domainId: options.domainId,
    regionId: options.regionId,
    state: 'alive',
    configVersion: options.configVersion,
  };
  const memberId = toMemberId(options.instanceId, options.incarnation);
  const otherDomains = options
    .peers()
    .map(peer => peer.domainId)
    .filter(domainId => domainId !== options.domainId);
  return {
    gossip: publish(
      createGossipState(memberId, nowMs),
      ItemKind.member,
      '',
      encodeMember(record),
    ),
    links: withDomains(new Map(), [...new Set(otherDomains)], nowMs),
    reportedLinks: new Map(),
    joined: false,
    startedAtMs: nowMs,
    lastRoundAtMs: nowMs,
    intervalMs: GOSSIP_INTERVAL_MS,
    lastSummaryAtMs: nowMs,
    summaryTurn: 0,
    lastInFlightAtMs: nowMs,
    inFlight: new Map(),
    propagatedSeqs: new Map(),
    receipts: new Map(),
    counters: {
      rounds: 0,
      exchangesFailed: 0,
      exchangesRetried: 0,
      summariesSent: 0,
      summariesFailed: 0,
    },
  };
}

function registerMethods(
  router: RpcRouter,
  ask: <Answer>(
    build: (
      resolve: (answer: Answer) => void,
      reject: (error: unknown) => void,
    ) => Message,
  ) => Promise<Answer>,
): void {
  router.register(EXCHANGE_METHOD, exchangeSchema, request =>
    ask((resolve, reject) => ({kind: 'exchange', request, resolve, reject})),
  );
  router.register(PUSH_METHOD, pushSchema, request =>
    ask((resolve, reject) => ({kind: 'push', request, resolve, reject})),
  );
  router.register(SUMMARY_METHOD, summarySchema, request =>
    ask((resolve, reject) => ({kind: 'summary', request, resolve, reject})),
  );
  router.register(QUARANTINE_METHOD, quarantineNoticeSchema, request =>
    ask((resolve, reject) => ({
      kind: 'quarantine_notice',
      request,
      resolve,
      reject,
    })),
  );
}

function stoppedError(peer: string): GatewayError {
  return new GatewayError({
    code: 'stopping',
    message: 'the membership of this instance is stopped',
    step: 'membership',
    peer,
  });
}

function reportFailure(
  logger: Logger,
  message: Message | undefined,
  error: unknown,
): void {
  logger.error(
    {err: error, kind: message?.kind},
    'failed to handle a membership message',
  );
  if (message !== undefined && 'reject' in message) message.reject(error);
}

/** Starts the first round immediately and the next ones after each interval. */
function startRounds(intervalMs: () => number, send: Send): {stop: () => void} {
  let timer: NodeJS.Timeout;
  const run = (): void => {
    send({kind: 'round'});
    timer = setTimeout(run, intervalMs());
  };
  run();
  return {stop: () => clearTimeout(timer)};
}

/** Announces to peers that this process has left; waits for a limited time. */
function announceLeft(send: Send): Promise<void> {
  return new Promise(resolve => {
    setTimeout(resolve, EXCHANGE_TIMEOUT_MS);
    send({kind: 'leave', resolve});
  });
}

/** Starts the membership of this process and registers its RPC methods. */
export function createMembership(options: MembershipOptions): Membership {
  const resolved = resolveOptions(options);
  const {logger, instanceId} = resolved;
  const runtime = {state: initialState(resolved), stopped: false};
  let markReady = (): void => undefined;
  const ready = new Promise<void>(resolve => {
    markReady = resolve;
  });
  const system = start();
  const actor = spawn(
    system,
    (state: ActorState, message: Message) => {
      const next = handleMessage(state, message, resolved, send);
      runtime.state = next;
      if (next.joined && !state.joined) markReady();
      return next;
    },
    'membership',
    {
      initialState: runtime.state,
      onCrash: (message, error, context) => {
        reportFailure(logger, message, error);
        return context.resume;
      },
    },
  );
  function send(message: Message): void {
    if (!runtime.stopped) dispatch(actor, message);
  }
  registerMethods(resolved.rpcRouter, build =>
    runtime.stopped
      ? Promise.reject(stoppedError(instanceId))
      : new Promise((resolve, reject) => send(build(resolve, reject))),
  );
  const rounds = startRounds(() => runtime.state.intervalMs, send);
  return {
    view: new GossipView(() => ({
      gossip: runtime.state.gossip,
      domainId: resolved.domainId,
      joined: runtime.state.joined,
      links: nowMs => listLinks(runtime.state.links, nowMs),
      counters: runtime.state.counters,
    })),
    send,
    ready,
    stop: async () => {
      if (runtime.stopped) return;
      rounds.stop();
      await announceLeft(send);
      runtime.stopped = true;
      markReady();
      stopActor(system);
    },
  };
}
