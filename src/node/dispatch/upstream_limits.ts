/** The request rate limits that upstreams name in their answers. */
import {monotonicNowMs} from '../clock/clock.js';
import type {NamedLimits, UpstreamLimit} from '../scheduling/types.js';
import type {DomainId, ServiceId, UpstreamId} from '../types/ids.js';

/** An upstream and the scheduler that assigns it. */
export interface LimitedUpstream {
  readonly service: ServiceId;
  readonly domain: DomainId;
  readonly upstreamId: UpstreamId;
}

interface HeldLimit extends UpstreamLimit {
  readonly service: ServiceId;
  readonly domain: DomainId;
  readonly notedAtMs: number;
}

/** Upstreams kept; the oldest limits are dropped first. */
const MAX_UPSTREAMS = 1_024;

/** The limits that one entry has been told. */
export class UpstreamLimits {
  private readonly held = new Map<UpstreamId, HeldLimit>();

  /**
   * Records what a response says and returns whether that is new. A response to a
   * request that was sent before the limit was named does not end it.
   */
  note(
    upstream: LimitedUpstream,
    {maxRequestsPerS, isComplete}: NamedLimits,
    sentAtMs: number,
  ): boolean {
    const {service, domain, upstreamId} = upstream;
    const known = this.held.get(upstreamId);
    if (maxRequestsPerS === undefined && !isComplete) return false;
    if (known?.maxRequestsPerS === maxRequestsPerS) return false;
    if (known !== undefined && sentAtMs < known.notedAtMs) return false;
    this.held.delete(upstreamId);
    if (maxRequestsPerS === undefined) return true;
    const notedAtMs = monotonicNowMs();
    this.held.set(upstreamId, {
      service,
      domain,
      upstreamId,
      maxRequestsPerS,
      notedAtMs,
    });
    const [oldest] = this.held.keys();
    if (this.held.size > MAX_UPSTREAMS && oldest !== undefined) {
      this.held.delete(oldest);
    }
    return true;
  }

  /** Requests a second that the upstream takes, as far as it has told. */
  maxRequestsPerS(upstreamId: UpstreamId): number | undefined {
    return this.held.get(upstreamId)?.maxRequestsPerS;
  }

  /** The limits of the upstreams that one scheduler assigns. */
  of(service: ServiceId, domain: DomainId): readonly UpstreamLimit[] {
    return [...this.held.values()]
      .filter(each => each.service === service)
      .filter(each => each.domain === domain)
      .map(({upstreamId, maxRequestsPerS}) => ({upstreamId, maxRequestsPerS}));
  }
}

/** Whether a response says other than what the scheduler knows. */
export function saysMore(
  named: NamedLimits,
  known: Partial<NamedLimits>,
): boolean {
  return (['maxRequestsPerS', 'maxRejectionsPerS'] as const)
    .filter(key => named[key] !== undefined || named.isComplete)
    .some(key => named[key] !== known[key]);
}
