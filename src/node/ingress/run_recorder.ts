/** Log lines and metrics of one request. */
import {monotonicNowMs} from '../clock/clock.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {PlacementOutcome, SchedulerAnswer} from '../scheduling/types.js';
import type {RequestLog} from './request_log.js';
import type {ExtraAnswer, StreamProgress} from './response_reader.js';
import type {TryBudget} from './try_budget.js';
import type {InboundRequest, TryResult} from './types.js';
import type {Grant} from './upstream_try.js';

export interface RunRecorderOptions {
  readonly log: RequestLog;
  readonly metrics: MetricsRegistry;
  readonly request: InboundRequest;
  readonly progress: StreamProgress;
  readonly tries: TryBudget;
}

/** Records the decisions on a request, its tries and its end. */
export class RunRecorder {
  /** Time to the first answer of the present try; 0 before that. */
  firstAnswerMs = 0;
  /** Wait for scheduling decisions, summed over all tries. */
  private decisionMs = 0;
  private lastGrant: Grant | undefined;

  constructor(private readonly options: RunRecorderOptions) {}

  /** A decision for which the request has waited. */
  decided({kind}: SchedulerAnswer, waitedMs: number): void {
    this.decisionMs += waitedMs;
    this.options.metrics.recordMs('decision_ms', {kind}, waitedMs);
  }

  /** A try begins; one that continues a stream is logged. */
  sending(grant: Grant): void {
    this.lastGrant = grant;
    this.firstAnswerMs = 0;
    const {log, request, progress} = this.options;
    const {lastEventId, begun} = progress;
    if (lastEventId === undefined) return;
    const {upstreamId: upstream, softwareVersion} = grant;
    const {resumedAttemptId} = request.traits;
    log.write('resumed', request, {
      upstream,
      softwareVersion,
      begunBy: begun?.softwareVersion,
      lastEventId,
      resumedAttemptId,
    });
  }

  tryEnded(
    {upstreamId: upstream}: Grant,
    outcome: PlacementOutcome,
    sentAtMs: number,
    cause: string | undefined,
  ): void {
    const {log, metrics, request} = this.options;
    const {service} = request;
    metrics.count('upstream_tries', {service, outcome});
    if (outcome === 'answered') return;
    const {firstAnswerMs} = this;
    const totalMs = monotonicNowMs() - sentAtMs;
    log.tryFailed(request, {firstAnswerMs, totalMs, upstream, outcome, cause});
  }

  /** The answer to another request came where that to this one was due. */
  extraAnswer(
    {upstreamId: upstream}: Grant,
    {status, namedAttemptId}: ExtraAnswer,
  ): void {
    const {log, metrics, request} = this.options;
    const {service} = request;
    metrics.count('extra_answers', {service});
    log.write('extra_answer', request, {upstream, status, namedAttemptId});
  }

  retrying(result: TryResult): void {
    const {log, request, tries, progress} = this.options;
    log.write('retry', request, {
      cause: 'cause' in result ? result.cause : '',
      runs: tries.runs,
      lastEventId: progress.lastEventId,
    });
  }

  /** `status` is what the caller got; 0 for a response that broke off. */
  ended(result: TryResult, status: number): void {
    const {log, metrics, request, progress, tries} = this.options;
    const {lastGrant} = this;
    const totalMs = monotonicNowMs() - request.receivedAtMs;
    const {name, kind} = request.route;
    metrics.recordMs('request_ms', {kind}, totalMs);
    metrics.count('requests', {route: name, result: result.kind});
    log.end(request, result, {
      status,
      upstream: lastGrant?.upstreamId,
      softwareVersion: lastGrant?.softwareVersion,
      queuedMs: lastGrant?.queuedMs ?? 0,
      decisionMs: this.decisionMs,
      expectedMs: lastGrant?.expectedMs ?? 0,
      totalMs,
      firstAnswerMs: this.firstAnswerMs,
      longestGapMs: progress.longestGapMs,
      runs: tries.runs,
      triesNotRun: tries.triesNotRun,
    });
  }
}
