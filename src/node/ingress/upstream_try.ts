/**
 * One try of a request at the upstream that a scheduler granted. A try that
 * makes no progress is given up only once another upstream is granted for the
 * request, or its own is known to be down: until then the upstream may still
 * answer, and giving up would lose the work that it has done.
 */
import {monotonicNowMs} from '../clock/clock.js';
import type {SchedulerClient} from '../dispatch/scheduler_client.js';
import type {UpstreamReachability} from '../reachability/upstream_reachability.js';
import type {SchedulerAnswer, WorkItem} from '../scheduling/types.js';
import type {UpstreamId} from '../types/ids.js';
import type {ConnectionPools} from './connections.js';
import type {GrantSource} from './grant_source.js';
import {
  exchangeWith,
  type ExchangeEnd,
  type ExchangeRequest,
} from './exchange.js';
import type {ResponseReader} from './response_reader.js';
import {StallDetector, type Stall} from './stall_detector.js';
import {RESPONSE_TIMEOUT_CAUSE} from './try_outcome.js';
import type {UpstreamPaces} from './upstream_pace.js';

/** A grant of a scheduler. */
export type Grant = Extract<SchedulerAnswer, {kind: 'grant'}>;

/** How a try ended. */
export interface UpstreamTryEnd {
  readonly end: ExchangeEnd;
  /** Granted in place of the upstream that was given up. */
  readonly replacement: Grant | undefined;
}

/** What was done about a stalled try, for the log. */
export interface StallAction extends Stall {
  readonly upstream: UpstreamId;
  /** `replaced`, `recovered`, or the reason why no other upstream is used. */
  readonly result: string;
  readonly replacement: UpstreamId | undefined;
}

export interface UpstreamTryOptions {
  readonly connections: ConnectionPools;
  readonly scheduler: Pick<SchedulerClient, 'report' | 'release'>;
  readonly grants: Pick<GrantSource, 'acquire'>;
  readonly paces: UpstreamPaces;
  readonly reachability: Pick<UpstreamReachability, 'doubt'>;
  readonly grant: Grant;
  readonly request: ExchangeRequest;
  readonly reader: ResponseReader;
  /** Target for the longest gap between events; 0 for plain responses. */
  readonly targetGapMs: number;
  /** Builds the request for a replacement; `undefined` if none is allowed. */
  readonly replacementItem: (() => WorkItem) | undefined;
  /** Aborts when the caller disconnects or the deadline passes. */
  readonly signal: AbortSignal;
  readonly onStallAction: (action: StallAction) => void;
}

/** Runs one try; used once. */
export class UpstreamTry {
  private readonly startedAtMs = monotonicNowMs();
  private readonly giveUp = new AbortController();
  private readonly search = new AbortController();
  private replacement: Grant | undefined;
  private isSearching = false;
  private isEnded = false;

  constructor(private readonly options: UpstreamTryOptions) {}

  async run(): Promise<UpstreamTryEnd> {
    const {connections, grant, request, reader, signal} = this.options;
    const detector = this.createDetector();
    const {address, upstreamId: key} = grant;
    const either = AbortSignal.any([signal, this.giveUp.signal]);
    const end = await exchangeWith(
      connections,
      {address, key},
      request,
      reader,
      either,
    );
    this.isEnded = true;
    detector.stop();
    if (this.isSearching) this.search.abort();
    const isGivenUp = end.kind === 'aborted' && !signal.aborted;
    if (!isGivenUp) {
      this.cancelReplacement();
      return {end, replacement: undefined};
    }
    this.retireSilentConnections();
    return {
      end: {kind: 'broken', cause: RESPONSE_TIMEOUT_CAUSE},
      replacement: this.replacement,
    };
  }

  // Idle connections to an upstream that has sent nothing since may be dead too.
  private retireSilentConnections(): void {
    const {connections, paces, grant, reader} = this.options;
    const {address, upstreamId} = grant;
    const lastMs = Math.max(this.startedAtMs, reader.progressAtMs);
    if (paces.progressAtMs(upstreamId) <= lastMs) {
      connections.retire(address, upstreamId);
    }
  }

  private createDetector(): StallDetector {
    const {scheduler, paces, reachability, grant, reader, targetGapMs} =
      this.options;
    const {upstreamId, expectedMs} = grant;
    return new StallDetector({
      upstreamId,
      paces,
      expectedMs,
      targetGapMs,
      progressAtMs: () => reader.progressAtMs,
      onSuspect: () => {
        scheduler.report('stalled', grant);
        reachability.doubt(upstreamId);
      },
      onStalled: stall => void this.seekReplacement(stall),
    });
  }

  private async seekReplacement(stall: Stall): Promise<void> {
    const {grants, reader, replacementItem, signal} = this.options;
    const mayReplace = replacementItem !== undefined && !reader.isEarly;
    if (!mayReplace || this.isSearching) return;
    this.isSearching = true;
    const {progressAtMs} = reader;
    const answer = await grants.acquire(replacementItem, this.search.signal);
    this.isSearching = false;
    const isStalled =
      !this.isEnded && !signal.aborted && reader.progressAtMs === progressAtMs;
    if (answer.kind === 'grant') {
      this.replacement = answer;
      if (isStalled) this.giveUp.abort();
      else this.cancelReplacement();
    } else if (isStalled && isUpstreamDown(answer)) {
      this.giveUp.abort();
    }
    this.report(stall, answer, isStalled);
  }

  private cancelReplacement(): void {
    const {replacement} = this;
    this.replacement = undefined;
    if (replacement !== undefined) {
      cancelGrant(this.options.scheduler, replacement);
    }
  }

  private report(
    stall: Stall,
    answer: SchedulerAnswer,
    isStalled: boolean,
  ): void {
    const {grant, onStallAction} = this.options;
    const isGrant = answer.kind === 'grant';
    const reason = answer.kind === 'refuse' ? answer.reason : 'replaced';
    onStallAction({
      ...stall,
      upstream: grant.upstreamId,
      result: isStalled ? reason : 'recovered',
      replacement: isGrant && isStalled ? answer.upstreamId : undefined,
    });
  }
}

function isUpstreamDown(answer: SchedulerAnswer): boolean {
  return answer.kind === 'refuse' && answer.reason === 'upstream_down';
}

/** Ends a grant that is not used. */
export function cancelGrant(
  scheduler: Pick<SchedulerClient, 'release'>,
  grant: Grant,
): void {
  scheduler.release({
    requestId: grant.requestId,
    upstreamId: grant.upstreamId,
    outcome: 'cancelled',
    firstAnswerMs: 0,
    totalMs: 0,
  });
}
