/**
 * Processes one request up to its final response: requests an upstream from a
 * scheduler, sends the request there or to an entry of another region, and
 * retries where that is safe.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {UNVERSIONED} from '../scheduling/software_versions.js';
import type {PlacementOutcome, SchedulerAnswer} from '../scheduling/types.js';
import {localOffload} from '../dispatch/local_decisions.js';
import {asId, type AttemptId, type RegionId} from '../types/ids.js';
import {
  ResponseReader,
  type ResponseHead,
  type ResponseReaderOptions,
  type StreamProgress,
} from './response_reader.js';
import {sendBuffered} from './buffered_response.js';
import type {CallerResponse} from './caller_response.js';
import {EndConfirmation} from './end_confirmation.js';
import type {ExchangeEnd} from './exchange.js';
import {GrantSource} from './grant_source.js';
import {namedLimits} from './named_limits.js';
import {ProgressMonitor} from './progress_monitor.js';
import {roundNumbers} from './request_log.js';
import type {RequestRunContext} from './request_context.js';
import {RunRecorder} from './run_recorder.js';
import {NO_ROOM} from './memory_bound.js';
import {sendFinalResponse} from './error_responses.js';
import {TryBudget} from './try_budget.js';
import {causeOf, endOfTry, isFalsePromise, outcomeOf} from './try_outcome.js';
import type {InboundRequest, TryResult} from './types.js';
import {WorkItems} from './work_items.js';
import {cancelGrant, UpstreamTry, type Grant} from './upstream_try.js';

/** Outcomes that a lost path to the upstream may cause. */
const TROUBLE_OUTCOMES: ReadonlySet<PlacementOutcome> = new Set([
  'broken',
  'unreachable',
  'silent',
]);

/** Runs one request. */
export class RequestRun {
  private readonly progress: StreamProgress;
  private readonly tries: TryBudget;
  private readonly items: WorkItems;
  private readonly grants: GrantSource;
  private readonly recorder: RunRecorder;
  private readonly ends: EndConfirmation;
  /** Granted while the try before it was given up. */
  private replacement: Grant | undefined;

  constructor(
    private readonly context: RequestRunContext,
    private readonly request: InboundRequest,
    private readonly response: CallerResponse,
    /** Aborts when the caller disconnects or the deadline passes. */
    private readonly signal: AbortSignal,
  ) {
    this.progress = {
      lastEventId: request.lastEventId,
      begun: request.begun,
      isStarted: false,
      lastEventAtMs: 0,
      longestGapMs: 0,
    };
    this.tries = new TryBudget(request);
    const {progress, tries} = this;
    this.grants = new GrantSource(context);
    this.items = new WorkItems({...context, request, progress, tries});
    this.recorder = new RunRecorder({...context, request, progress, tries});
    this.ends = new EndConfirmation({...context, request, signal});
  }

  /** Whether an upstream has, or may have, run the request. */
  get mayHaveRun(): boolean {
    return this.tries.hasRun;
  }

  /** Resolves when the caller has its final response. */
  async run(): Promise<TryResult> {
    const result = await this.tryUntilFinal();
    const unused = this.takeReplacement();
    if (unused !== undefined) cancelGrant(this.context.scheduler, unused);
    this.finish(result);
    return result;
  }

  private async tryUntilFinal(): Promise<TryResult> {
    const result = await this.attempt();
    const {signal, response, request, tries} = this;
    const isCut = response.isBegun && !request.route.isResumable;
    const mayRetry = !signal.aborted && !isCut && tries.mayFollow(result);
    if (!mayRetry) return result;
    this.recorder.retrying(result);
    response.holding?.resize('response', 0);
    return this.tryUntilFinal();
  }

  private async attempt(): Promise<TryResult> {
    const decision = this.takeReplacement() ?? (await this.askScheduler());
    if (decision.kind !== 'refuse' || !this.signal.aborted) {
      this.context.log.decision(this.request, decision, this.context.region);
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
    const {reachability, region, misdirections} = this.context;
    await misdirections.pending(this.request.service);
    const askedAtMs = monotonicNowMs();
    // The scheduler could only say the same.
    if (reachability.isCutOff && this.items.mayUsePeer(askedAtMs)) {
      return localOffload(this.items.next(), region);
    }
    const decision = await this.grants.acquire(
      () => this.items.next(),
      this.signal,
    );
    this.recorder.decided(decision, monotonicNowMs() - askedAtMs);
    return decision;
  }

  private takeReplacement(): Grant | undefined {
    const {replacement} = this;
    this.replacement = undefined;
    return replacement;
  }

  private async sendToUpstream(grant: Grant): Promise<TryResult> {
    const {context, request} = this;
    const {upstreamId} = grant;
    const sentAtMs = monotonicNowMs();
    this.recorder.sending(grant);
    context.reachability.noteUse(grant);
    const monitor = new ProgressMonitor({
      ...context,
      grant,
      hasPrompt: request.traits.prompt !== undefined,
    });
    const reader = this.createReader(sentAtMs, {
      softwareVersion: grant.softwareVersion,
      onProgress: monitor.record,
      onHead: head => this.noteAnswer(grant, head, sentAtMs),
      onExtraAnswer: answer => this.recorder.extraAnswer(grant, answer),
    });
    const {method, path, body, traits} = request;
    const {end: ended, replacement} = await new UpstreamTry({
      ...context,
      grant,
      grants: this.grants,
      reader,
      request: {
        attemptId: traits.attemptId,
        method,
        path,
        body,
        headers: this.upstreamHeaders(grant, sentAtMs),
      },
      targetGapMs: request.route.targetGapMs,
      replacementItem: this.tries.mayRunAgain
        ? () => this.items.replacing(grant)
        : undefined,
      signal: this.signal,
      onStallAction: action =>
        context.log.write('stalled', request, roundNumbers({...action})),
    }).run();
    monitor.stop();
    const end = await this.ends.confirm(ended, reader, grant);
    this.replacement = replacement;
    const result = this.interpret(end, reader);
    const outcome = outcomeOf(end, result, reader);
    context.scheduler.release({
      requestId: grant.requestId,
      upstreamId,
      outcome,
      firstAnswerMs: this.recorder.firstAnswerMs,
      totalMs: monotonicNowMs() - sentAtMs,
    });
    if (TROUBLE_OUTCOMES.has(outcome)) context.reachability.doubt(upstreamId);
    this.recorder.tryEnded(grant, outcome, sentAtMs, causeOf(end, reader));
    if (result.kind !== 'delivered') this.items.avoid(upstreamId);
    return result;
  }

  private upstreamHeaders(grant: Grant, sentAtMs: number): readonly string[] {
    const {request, progress} = this;
    const {workspace} = request;
    const headers = this.context.protocol.upstreamHeaders(request.rawHeaders, {
      upstreamId: grant.upstreamId,
      remainingMs: Math.floor(request.expiresAtMs - sentAtMs),
      priority: request.route.priority,
      ...(workspace === undefined ? {} : {workspace: workspace.name}),
      ...(grant.fetchFrom === undefined ? {} : {fetchFrom: grant.fetchFrom}),
      ...(progress.lastEventId === undefined
        ? {}
        : {lastEventId: progress.lastEventId}),
    });
    return headers.flat();
  }

  private async sendToRegion(region: RegionId): Promise<TryResult> {
    const {context, request} = this;
    const {holding} = this.response;
    if (holding?.resize('copy', request.body.length) === false) return NO_ROOM;
    const reader = this.createReader(monotonicNowMs());
    const ended = await context.relay.send(
      region,
      {
        ...request,
        isRepeat: this.tries.isRepeat,
        lastEventId: this.progress.lastEventId,
        begun: this.progress.begun,
        avoidUpstreams: this.items.avoidedUpstreams,
      },
      reader,
      this.signal,
    );
    holding?.resize('copy', 0);
    const result = this.interpret(endOfTry(ended, reader), reader);
    context.metrics.count('requests_offloaded', {region, result: result.kind});
    // Another entry of this region may take what a lost one could not.
    const isPeerLost = ended.kind === 'not_sent' && region === context.region;
    if (result.kind === 'not_run' && !isPeerLost) {
      this.items.avoidRegion(region);
    }
    return result;
  }

  private noteAnswer(grant: Grant, head: ResponseHead, sentAtMs: number): void {
    const {limits, notices, scheduler, log} = this.context;
    const {upstreamId: upstream} = grant;
    const {status, traits} = head;
    const {retryAfterMs, isLeaving} = traits;
    const named = namedLimits(head);
    scheduler.reportLimits(grant, named);
    if (limits.note(grant, named, sentAtMs)) {
      const {maxRequestsPerS} = named;
      log.write('upstream_limit', this.request, {
        upstream,
        maxRequestsPerS,
        status,
      });
    }
    const isNew = notices.note(grant.processId, traits);
    if (!isNew) return;
    if (traits.isMisdirected) this.context.misdirections.begin(grant);
    if (isLeaving) scheduler.report('leaving', grant);
    log.write('upstream_notice', this.request, {
      upstream,
      isLeaving,
      retryAfterMs,
    });
  }

  // Without an upstream, the response comes from another entry.
  private createReader(
    sentAtMs: number,
    upstream?: Pick<
      ResponseReaderOptions,
      'softwareVersion' | 'onHead' | 'onExtraAnswer' | 'onProgress'
    >,
  ): ResponseReader {
    const {context, request, response, progress} = this;
    return new ResponseReader({
      protocol: context.protocol,
      response,
      attemptId: request.traits.attemptId,
      isStream: request.route.kind === 'stream',
      isResumable: request.route.isResumable,
      progress,
      isFromPeer: upstream === undefined,
      isForPeer: request.isRelayed,
      onResponseStart: () => {
        const firstAnswerMs = monotonicNowMs() - sentAtMs;
        this.recorder.firstAnswerMs = Math.max(1, firstAnswerMs);
        this.noteOrigin();
      },
      onEarlyStart: readBytes => {
        context.metrics.count('responses_begun_early');
        context.log.write('begun_early', request, {readBytes});
      },
      ...upstream,
    });
  }

  // The entry that has the caller does so, and only once a stream.
  private noteOrigin(): void {
    const {context, request, progress} = this;
    const {route, service, traits, isRelayed} = request;
    const softwareVersion = progress.begun?.softwareVersion;
    const mayBeTakenUp =
      route.isResumable && !isRelayed && request.begun === undefined;
    const isKnown =
      softwareVersion !== undefined && softwareVersion !== UNVERSIONED;
    if (!mayBeTakenUp || !isKnown || traits.attemptId === '') return;
    const attemptId = asId<AttemptId>(traits.attemptId);
    context.origins.note({attemptId, service, softwareVersion});
  }

  private interpret(end: ExchangeEnd, reader: ResponseReader): TryResult {
    reader.endWait();
    this.response.holding?.endResponse();
    if (end.kind === 'aborted') return end;
    if (end.kind === 'not_sent') {
      this.tries.noteNotRun();
      return {kind: 'not_run', cause: end.cause, retryAfterMs: 0};
    }
    const {head} = reader;
    if (!reader.isUnsentByPeer) this.tries.noteAtUpstream();
    if (head?.traits.isNotRun === true || reader.isRefusedByPeer) {
      this.tries.noteNotRun();
      return {
        kind: 'not_run',
        cause: `status ${head?.status}`,
        // Another entry says when there will be room.
        retryAfterMs: reader.isRefusedByPeer
          ? (head?.traits.retryAfterMs ?? 0)
          : 0,
      };
    }
    this.tries.noteRun();
    if (end.kind === 'broken' || head === undefined) {
      const cause = end.kind === 'broken' ? end.cause : 'no response';
      return {kind: 'failed', cause};
    }
    return this.deliver(reader, head.status);
  }

  private deliver(reader: ResponseReader, status: number): TryResult {
    const {request, context, response} = this;
    const isFailure = status >= 500;
    if (this.progress.isStarted && !reader.isSuccess) {
      return {kind: 'failed', cause: `status ${status} while resuming`};
    }
    if (isFalsePromise(reader, request.route)) {
      return {kind: 'failed', cause: `status ${status} without a refusal`};
    }
    if (isFailure && this.tries.hasRunLeft) {
      return {kind: 'failed', cause: `status ${status}`};
    }
    if (reader.isRelaying) {
      reader.finishStream();
    } else {
      const {protocol} = context;
      sendBuffered(reader, status, {
        protocol,
        response,
        isForPeer: request.isRelayed,
      });
    }
    return {kind: 'delivered', status};
  }

  private finish(result: TryResult): void {
    const {request, response} = this;
    const status = sendFinalResponse(result, response, this.tries, request);
    this.recorder.ended(result, status);
  }
}
