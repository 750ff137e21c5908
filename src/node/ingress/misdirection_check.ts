/**
 * Settles misdirected answers: an upstream said that it is not the one that was
 * meant. A health check shows whether the one that was meant is at its address after
 * all; then it gets requests again at once, and not only after its pause.
 */
import type {Liveness, UpstreamFeed} from '../dispatch/upstream_feed.js';
import type {UpstreamNotices} from '../dispatch/upstream_notices.js';
import type {ServiceId, UpstreamProcessId} from '../types/ids.js';
import type {Grant} from './upstream_try.js';

/** The upstream has just answered, so its health check needs a round trip. */
const CHECK_TIMEOUT_MS = 200;

export type MisdirectedTry = Pick<
  Grant,
  'address' | 'processId' | 'service' | 'upstreamId'
>;

export interface MisdirectionCheckOptions {
  readonly notices: Pick<UpstreamNotices, 'lift'>;
  /** Asks the upstream at an address who it is; it never rejects. */
  readonly probe: (
    address: string,
    service: ServiceId,
    timeoutMs: number,
  ) => Promise<Liveness>;
}

/** Checks upstreams by their health checks. */
export function createMisdirectionCheck(
  feed: Pick<UpstreamFeed, 'liveness'>,
  notices: Pick<UpstreamNotices, 'lift'>,
  healthPathOf: (service: ServiceId) => string | undefined,
): MisdirectionCheck {
  return new MisdirectionCheck({
    notices,
    probe: (address, service, timeoutMs) =>
      feed.liveness(address, healthPathOf(service) ?? '/', timeoutMs),
  });
}

/** The checks of one entry; one at a time for each upstream. */
export class MisdirectionCheck {
  private readonly running = new Map<
    UpstreamProcessId,
    {readonly service: ServiceId; readonly ended: Promise<void>}
  >();

  constructor(private readonly options: MisdirectionCheckOptions) {}

  /** Begins to check an upstream, unless it is being checked. */
  begin(misdirected: MisdirectedTry): void {
    const {processId, service} = misdirected;
    if (this.running.has(processId)) return;
    this.running.set(processId, {service, ended: this.check(misdirected)});
  }

  /** The checks of a service that are under way; `undefined` without any. */
  pending(service: ServiceId): Promise<unknown> | undefined {
    if (this.running.size === 0) return undefined;
    return Promise.all(
      [...this.running.values()]
        .filter(each => each.service === service)
        .map(each => each.ended),
    );
  }

  private async check(misdirected: MisdirectedTry): Promise<void> {
    const {address, processId, service, upstreamId} = misdirected;
    const {notices, probe} = this.options;
    const found = await probe(address, service, CHECK_TIMEOUT_MS);
    this.running.delete(processId);
    const isThere = found.kind === 'alive' && found.upstreamId === upstreamId;
    if (isThere) notices.lift(processId);
  }
}
