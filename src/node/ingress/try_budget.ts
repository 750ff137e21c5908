/** Counts the tries of one request and decides whether another may follow. */
import {monotonicNowMs} from '../clock/clock.js';
import {isRepeatable} from '../routes/route_table.js';
import type {InboundRequest, TryResult} from './types.js';

/** Extra tries after tries that did not run, beyond the route's limit. */
const MAX_TRIES_NOT_RUN = 2;

/** The tries of one request. */
export class TryBudget {
  private runCount = 0;
  private notRunCount = 0;
  private spareTriesUsed = 0;
  /** Tries that may have reached an upstream, whether it ran them or not. */
  private atUpstreamCount = 0;

  constructor(
    private readonly request: Pick<
      InboundRequest,
      'route' | 'isRelayed' | 'isRepeat' | 'expiresAtMs'
    >,
  ) {}

  /** Tries that ran or may have run. */
  get runs(): number {
    return this.runCount;
  }

  get triesNotRun(): number {
    return this.notRunCount;
  }

  /** Whether an upstream may have had the request before. */
  get isRepeat(): boolean {
    return this.request.isRepeat || this.atUpstreamCount > 0;
  }

  /** Whether an upstream may have had it since it came to this entry. */
  get wasAtUpstream(): boolean {
    return this.atUpstreamCount > 0;
  }

  // After a run the target counts anew: a late answer is better than none.
  get hasRun(): boolean {
    return this.runCount > 0 || this.request.isRepeat;
  }

  /** Whether another try may follow one that runs now. */
  get mayRunAgain(): boolean {
    return this.runCount + 1 < this.maxRuns;
  }

  get hasRunLeft(): boolean {
    return this.runCount < this.maxRuns;
  }

  noteRun(): void {
    this.runCount += 1;
  }

  noteNotRun(): void {
    this.notRunCount += 1;
  }

  noteAtUpstream(): void {
    this.atUpstreamCount += 1;
  }

  /** Whether another try may follow one with this result; it counts as used. */
  mayFollow(result: TryResult): boolean {
    if (this.request.expiresAtMs <= monotonicNowMs()) return false;
    if (result.kind === 'failed') return this.hasRunLeft;
    return result.kind === 'not_run' && this.consumeSpareTry();
  }

  // A relayed request is retried by the entry that relayed it.
  private get maxRuns(): number {
    const {route, isRelayed} = this.request;
    return !isRelayed && isRepeatable(route) ? route.maxUpstreams : 1;
  }

  // A refusal by the scheduler adds no try, so it is final.
  private consumeSpareTry(): boolean {
    const tries = this.notRunCount;
    if (tries === this.spareTriesUsed) return false;
    this.spareTriesUsed = tries;
    return tries <= MAX_TRIES_NOT_RUN;
  }
}
