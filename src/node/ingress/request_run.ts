/**
 * Carries one request to its final answer: asks for an upstream, sends it
 * there or to an entry of another region, and tries again where that is safe.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {FleetMembers} from '../fleet/fleet_members.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {allowsRegion, isRepeatable} from '../routes/route_table.js';
import type {
  Decision,
  PlacementOutcome,
  SchedulerAnswer,
  WorkItem,
} from '../scheduling/types.js';
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {InstanceId, RegionId, UpstreamId} from '../types/ids.js';
import {AnswerReader, type StreamProgress} from './answer_reader.js';
import type {CallerAnswer} from './caller_answer.js';
import type {Connections} from './connections.js';
import {exchange, type ExchangeEnd} from './exchange.js';
import type {RequestLog} from './request_log.js';
import type {RequestProtocol} from './protocol.js';
import type {Relay} from './relay.js';
import {sendFailure, sendRefusal} from './final_answers.js';
import {StallWatch} from './stall_watch.js';
import {causeOf, NO_ANSWER, outcomeOf} from './try_outcome.js';
import type {InboundRequest, TryResult} from './types.js';

/** Tries that certainly did not run, beyond those that the route allows. */
const MAX_TRIES_NOT_RUN = 2;

export interface RequestRunContext {
  readonly region: RegionId;
  readonly self: InstanceId;
  readonly protocol: RequestProtocol;
  readonly members: FleetMembers;
  readonly scheduler: SchedulerClient;
  readonly connections: Connections;
  readonly relay: Relay;
  readonly log: RequestLog;
  readonly metrics: MetricsRegistry;
}

type Grant = Extract<Decision, {kind: 'grant'}>;

/** The run of one request. */
export class RequestRun {
  private readonly progress: StreamProgress;
  private readonly avoid: UpstreamId[];
  /** Tries that ran or may have run. */
  private runs = 0;
  private triesNotRun = 0;
  private spareTriesUsed = 0;
  /** Tries that reached an upstream, whether it ran them or not. */
  private arrivals = 0;
  private refusedRegions: RegionId[] = [];
  private firstAnswerMs = 0;
  /** From asking for upstreams to the decisions, over all tries. */
  private decisionMs = 0;
  private lastGrant: Grant | undefined;

  constructor(
    private readonly context: RequestRunContext,
    private readonly request: InboundRequest,
    private readonly answer: CallerAnswer,
    /** Aborts when the caller leaves or the time is up. */
    private readonly signal: AbortSignal,
  ) {
    this.progress = {
      lastEventId: request.lastEventId,
      isStarted: false,
      lastEventAtMs: 0,
      longestGapMs: 0,
    };
    this.avoid = [...request.avoidUpstreams];
  }

  /** Resolves when the caller has its final answer. */
  async run(): Promise<void> {
    this.conclude(await this.tryUntilFinal());
  }

  private async tryUntilFinal(): Promise<TryResult> {
    const result = await this.attempt();
    if (!this.mayTryAgain(result)) return result;
    this.context.log.write('retry', this.request, {
      cause: 'cause' in result ? result.cause : '',
      runs: this.runs,
      lastEventId: this.progress.lastEventId,
    });
    return this.tryUntilFinal();
  }

  private async attempt(): Promise<TryResult> {
    const decision = await this.askScheduler();
    if (decision.kind !== 'refuse' || !this.signal.aborted) {
      this.context.log.decision(this.request, decision);
    }
    switch (decision.kind) {
      case 'grant':
        return this.sendToUpstream(decision);
      case 'offload':
        return this.sendToRegion(decision.region);
      case 'refuse':
        return this.signal.aborted
          ? {kind: 'aborted', isSent: false}
          : {
              kind: 'not_run',
              cause: decision.reason,
              retryAfterMs: decision.retryAfterMs,
            };
    }
  }

  private async askScheduler(): Promise<SchedulerAnswer> {
    const {scheduler, metrics} = this.context;
    const askedAtMs = monotonicNowMs();
    const decision = await scheduler.acquire(this.workItem(), this.signal);
    const waitedMs = monotonicNowMs() - askedAtMs;
    this.decisionMs += waitedMs;
    metrics.recordMs('decision_ms', {kind: decision.kind}, waitedMs);
    return decision;
  }

  private workItem(): WorkItem {
    const {request, context} = this;
    const {route, traits} = request;
    const nowMs = monotonicNowMs();
    const otherRegions = request.isRelayed
      ? []
      : context.members
          .regions()
          .filter(region => region !== context.region)
          .filter(region => allowsRegion(route, region))
          .filter(region => !this.refusedRegions.includes(region));
    return {
      requestId: request.requestId,
      entry: context.self,
      service: request.service,
      priority: route.priority,
      targetLatencyMs: route.targetLatencyMs,
      ageMs: nowMs - request.receivedAtMs,
      remainingMs: request.expiresAtMs - nowMs,
      ...(traits.prompt === undefined ? {} : {prompt: traits.prompt}),
      avoidUpstreams: this.avoid,
      isRepeat: request.isRepeat || this.arrivals > 0,
      isAllowedHere: allowsRegion(route, context.region),
      otherRegions,
      passedDomains: [],
    };
  }

  private async sendToUpstream(grant: Grant): Promise<TryResult> {
    const {context, request} = this;
    const {upstreamId, address} = grant;
    this.lastGrant = grant;
    const sentAtMs = monotonicNowMs();
    this.firstAnswerMs = 0;
    const reader = this.createReader(sentAtMs, false);
    const headers = context.protocol.upstreamHeaders(request.rawHeaders, {
      upstreamId,
      remainingMs: Math.floor(request.expiresAtMs - sentAtMs),
      priority: request.route.priority,
      ...(grant.fetchFrom === undefined ? {} : {fetchFrom: grant.fetchFrom}),
      ...(this.progress.lastEventId === undefined
        ? {}
        : {lastEventId: this.progress.lastEventId}),
    });
    const {method, path, body} = request;
    const end = await this.exchangeUntilSilent(
      grant,
      {method, path, body, headers: headers.flat()},
      reader,
    );
    const result = this.interpret(end, reader);
    const outcome = outcomeOf(end, result, reader);
    context.scheduler.release({
      requestId: request.requestId,
      upstreamId,
      outcome,
      firstAnswerMs: this.firstAnswerMs,
      totalMs: monotonicNowMs() - sentAtMs,
    });
    this.noteOutcome(grant, outcome, sentAtMs, causeOf(end, reader));
    if (outcome === 'silent') context.connections.renew(address, upstreamId);
    if (result.kind !== 'delivered') this.avoid.push(upstreamId);
    return result;
  }

  // A request that can be repeated leaves an upstream that stays silent.
  private async exchangeUntilSilent(
    grant: Grant,
    sent: Parameters<typeof exchange>[1],
    reader: AnswerReader,
  ): Promise<ExchangeEnd> {
    const {connections, scheduler} = this.context;
    const {upstreamId, address, service, domain, expectedMs} = grant;
    const silence = new AbortController();
    const mayRepeat = this.runs + 1 < this.maxRuns();
    const watch = new StallWatch({
      expectedMs,
      lastBytesAtMs: () => reader.lastBytesAtMs,
      onSuspect: () => scheduler.reportStalled(service, domain, upstreamId),
      ...(mayRepeat ? {onGiveUp: () => silence.abort()} : {}),
    });
    const pool = connections.pool(address, upstreamId);
    const signal = AbortSignal.any([this.signal, silence.signal]);
    const end = await exchange(pool, sent, reader, signal);
    watch.stop();
    const isSilent = end.kind === 'aborted' && !this.signal.aborted;
    return isSilent ? {kind: 'broken', cause: NO_ANSWER} : end;
  }

  private async sendToRegion(region: RegionId): Promise<TryResult> {
    const {context, request} = this;
    const reader = this.createReader(monotonicNowMs(), true);
    const end = await context.relay.send(
      region,
      {
        ...request,
        isRepeat: request.isRepeat || this.arrivals > 0,
        lastEventId: this.progress.lastEventId,
      },
      reader,
      this.signal,
    );
    const result = this.interpret(end, reader);
    context.metrics.count('requests_offloaded', {region, result: result.kind});
    if (result.kind === 'not_run') this.refusedRegions.push(region);
    return result;
  }

  private createReader(sentAtMs: number, isFromPeer: boolean): AnswerReader {
    const {context, request, answer, progress} = this;
    return new AnswerReader({
      protocol: context.protocol,
      answer,
      attemptId: request.traits.attemptId,
      isStream: request.route.kind === 'stream',
      isResumable: request.route.isResumable,
      progress,
      isFromPeer,
      onFirstAnswer: () => {
        this.firstAnswerMs = Math.max(1, monotonicNowMs() - sentAtMs);
      },
    });
  }

  private interpret(end: ExchangeEnd, reader: AnswerReader): TryResult {
    if (end.kind === 'aborted') return end;
    if (end.kind === 'not_sent') {
      this.triesNotRun += 1;
      return {kind: 'not_run', cause: end.cause, retryAfterMs: 0};
    }
    const {head} = reader;
    if (!reader.isRefusedByPeer) this.arrivals += 1;
    if (head?.traits.isNotRun === true || reader.isRefusedByPeer) {
      this.triesNotRun += 1;
      return {
        kind: 'not_run',
        cause: `status ${head?.status}`,
        retryAfterMs: 0,
      };
    }
    this.runs += 1;
    if (end.kind === 'broken' || head === undefined) {
      const cause = end.kind === 'broken' ? end.cause : 'no answer';
      return {kind: 'failed', cause};
    }
    return this.deliver(reader, head.status);
  }

  private deliver(reader: AnswerReader, status: number): TryResult {
    const {request, context, answer} = this;
    const isFailure = status >= 500;
    if (this.progress.isStarted && !reader.isSuccess) {
      return {kind: 'failed', cause: `status ${status} while resuming`};
    }
    if (isFailure && this.hasTryLeft()) {
      return {kind: 'failed', cause: `status ${status}`};
    }
    if (request.route.kind === 'stream' && reader.isSuccess) {
      reader.finishStream();
    } else {
      const headers = context.protocol.callerHeaders(
        reader.head?.headers ?? {},
      );
      answer.sendWhole(status, headers, reader.body(), reader.framing);
    }
    return {kind: 'delivered', status};
  }

  private hasTryLeft(): boolean {
    return this.runs < this.maxRuns();
  }

  // The entry that relayed a request repeats it itself.
  private maxRuns(): number {
    const {route, isRelayed} = this.request;
    return !isRelayed && isRepeatable(route) ? route.maxUpstreams : 1;
  }

  private mayTryAgain(result: TryResult): boolean {
    const isTimeLeft = this.request.expiresAtMs > monotonicNowMs();
    if (this.signal.aborted || !isTimeLeft) return false;
    if (result.kind === 'failed') return this.hasTryLeft();
    if (result.kind !== 'not_run') return false;
    return this.consumeSpareTry();
  }

  // A refusal of the scheduler itself adds no try and is final.
  private consumeSpareTry(): boolean {
    const tries = this.triesNotRun;
    if (tries === this.spareTriesUsed) return false;
    this.spareTriesUsed = tries;
    return tries <= MAX_TRIES_NOT_RUN;
  }

  private conclude(result: TryResult): void {
    const {request, answer, context} = this;
    const totalMs = monotonicNowMs() - request.receivedAtMs;
    const hasRun = this.runs > 0;
    const status = sendFinal(result, answer, hasRun, request);
    context.metrics.recordMs('request_ms', {kind: request.route.kind}, totalMs);
    context.metrics.count('requests', {
      route: request.route.name,
      result: result.kind,
    });
    context.log.end(this.request, result, {
      status,
      upstream: this.lastGrant?.upstreamId,
      queuedMs: this.lastGrant?.queuedMs ?? 0,
      decisionMs: this.decisionMs,
      expectedMs: this.lastGrant?.expectedMs ?? 0,
      totalMs,
      firstAnswerMs: this.firstAnswerMs,
      longestGapMs: this.progress.longestGapMs,
      runs: this.runs,
      triesNotRun: this.triesNotRun,
    });
  }

  private noteOutcome(
    grant: Grant,
    outcome: PlacementOutcome,
    sentAtMs: number,
    cause: string | undefined,
  ): void {
    const {context, request} = this;
    context.metrics.count('upstream_tries', {
      service: request.service,
      outcome,
    });
    if (outcome === 'answered') return;
    context.log.write('upstream_outcome', request, {
      upstream: grant.upstreamId,
      outcome,
      cause,
      firstAnswerMs: Math.round(this.firstAnswerMs),
      totalMs: Math.round(monotonicNowMs() - sentAtMs),
    });
  }
}

function sendFinal(
  result: TryResult,
  answer: CallerAnswer,
  hasRun: boolean,
  request: InboundRequest,
): number {
  if (result.kind === 'delivered') return result.status;
  if (answer.isBegun) {
    answer.breakOff();
    return 0;
  }
  const mayHaveRun =
    hasRun ||
    result.kind === 'failed' ||
    (result.kind === 'aborted' && result.isSent);
  if (mayHaveRun) return sendFailure(answer, result);
  const retryAfterMs = result.kind === 'not_run' ? result.retryAfterMs : 0;
  return sendRefusal(answer, retryAfterMs, request.isRelayed);
}
