/**
 * Finds out whether responses were cut by a crash of their upstream if only the
 * end of their connection marks their end, before that end is passed on.
 */
import {
  ResponseEndCheck,
  type Completeness,
  type EndedResponse,
} from '../dispatch/response_end_check.js';
import type {UpstreamFeed} from '../dispatch/upstream_feed.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import type {ServiceId} from '../types/ids.js';
import type {ExchangeEnd} from './exchange.js';
import {roundNumbers, type RequestLog} from './request_log.js';
import type {ResponseReader} from './response_reader.js';
import {endOfTry} from './try_outcome.js';
import type {InboundRequest} from './types.js';
import type {Grant} from './upstream_try.js';

/** Their responses end with the head. */
const BODYLESS_STATUSES: ReadonlySet<number> = new Set([204, 304]);

/** The try of a request whose response has ended. */
export interface EndedTry extends EndedResponse {
  readonly service: ServiceId;
}

/** Checks the ends of tries by the health checks of their upstreams. */
export function createEndCheck(
  feed: Pick<UpstreamFeed, 'liveness'>,
  healthPathOf: (service: ServiceId) => string | undefined,
): ResponseEndCheck<EndedTry> {
  return new ResponseEndCheck(({address, service}, timeoutMs) =>
    feed.liveness(address, healthPathOf(service) ?? '/', timeoutMs),
  );
}

export interface EndConfirmationOptions {
  readonly responseEnds: Pick<ResponseEndCheck<EndedTry>, 'check'>;
  readonly log: Pick<RequestLog, 'write'>;
  readonly metrics: MetricsRegistry;
  readonly request: InboundRequest;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
}

/** Confirms the ends of the tries of one request. */
export class EndConfirmation {
  constructor(private readonly options: EndConfirmationOptions) {}

  /**
   * The end of a try. A stream whose completeness is unknown counts as broken,
   * as its caller can take it up again; a plain response is passed on.
   */
  async confirm(
    ended: ExchangeEnd,
    reader: ResponseReader,
    grant: Grant,
  ): Promise<ExchangeEnd> {
    const end = endOfTry(ended, reader);
    if (end.kind !== 'complete' || !this.isOpenToDoubt(reader)) return end;
    const endedAtMs = monotonicNowMs();
    const completeness = await this.check(reader, grant);
    reader.noteCompleteness(completeness);
    this.report(completeness, grant, monotonicNowMs() - endedAtMs);
    if (completeness === 'broken_off') {
      return {kind: 'broken', cause: 'upstream ended with its response'};
    }
    return completeness === 'unknown' && reader.isRelaying
      ? {kind: 'broken', cause: 'end of the stream not confirmed'}
      : end;
  }

  private isOpenToDoubt(reader: ResponseReader): boolean {
    const {head, framing} = reader;
    if (head === undefined || head.traits.isNotRun) return false;
    const hasBody =
      this.options.request.method !== 'HEAD' &&
      !BODYLESS_STATUSES.has(head.status);
    return hasBody && framing === 'until_close';
  }

  private check(
    {head, isRelaying: isStream}: ResponseReader,
    grant: Grant,
  ): Promise<Completeness> {
    const {responseEnds, signal} = this.options;
    const isLeaving = head?.traits.isLeaving === true;
    const checked = responseEnds.check({...grant, isStream, isLeaving});
    const aborted = new Promise<Completeness>(resolve => {
      if (signal.aborted) resolve('unknown');
      signal.addEventListener('abort', () => resolve('unknown'), {once: true});
    });
    return Promise.race([checked, aborted]);
  }

  private report(
    completeness: Completeness,
    {upstreamId}: Grant,
    checkMs: number,
  ): void {
    const {log, metrics, request} = this.options;
    metrics.count('unframed_responses', {completeness});
    log.write('end_checked', request, {
      upstream: upstreamId,
      completeness,
      ...roundNumbers({checkMs}),
    });
  }
}
